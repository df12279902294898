import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Number of witnesses per key. */
export const WITNESS_COUNT = 3;

/** Returns the ids of the routers that store the record of a key.
 * @param key The idempotency key.
 * @param routerIds Ids of all listed routers. */
export function getWitnesses(
  key: string,
  routerIds: readonly string[],
): string[] {
  return rankByRendezvous(key, routerIds).slice(0, WITNESS_COUNT);
}
