import type { Random } from "../random/random.ts";
import type { Upstream } from "./upstream.ts";

/** Maximum number of hosts that are asked for a slot for one request. */
const MAX_LENDERS = 6;

/** A host that may lend a slot of an upstream. */
export interface Lender {
  /** Gossip address of the host. */
  address: string;
  upstream: Upstream;
}

/** Options of {@link chooseLenders}. */
export interface ChooseLendersOptions {
  /** The upstreams of which any slot will do. */
  upstreams: readonly Upstream[];
  /** Returns the gossip addresses of the other hosts that own slots of an upstream. */
  getOwners: (upstream: Upstream) => readonly string[];
  random: Random;
}

/** Chooses the hosts to ask for a slot, in random order: first one host for each of several upstreams, then further ones
 * for each.
 * @param options The upstreams and the owners of their slots. */
export function chooseLenders(
  { upstreams, getOwners, random }: ChooseLendersOptions,
): Lender[] {
  const byUpstream = random.shuffle(upstreams).slice(0, MAX_LENDERS)
    .map((upstream) =>
      random.shuffle(getOwners(upstream))
        .map((address) => ({ address, upstream }))
    );
  return Array.from({ length: MAX_LENDERS }, (_, round) => round)
    .flatMap((round) => byUpstream.flatMap((lenders) => lenders[round] ?? []))
    .slice(0, MAX_LENDERS);
}
