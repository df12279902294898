import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Witnesses of one key. */
export const WITNESS_COUNT = 3;

/** Returns the routers that remember a key.
 * @param key The idempotency key.
 * @param routerIds The listed routers. */
export function getWitnesses(
  key: string,
  routerIds: readonly string[],
): string[] {
  return rankByRendezvous(key, routerIds).slice(0, WITNESS_COUNT);
}
