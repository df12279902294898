import { rankByRendezvous } from "../hashing/rendezvous.ts";
import { takesRequests } from "../peers/host_phase.ts";
import type { KnownHost } from "../peers/known_host.ts";

/** Maximum number of addresses in one response. */
const MAX_ADDRESSES = 64;

/** Input of {@link chooseAddresses}. */
export interface ChooseAddressesOptions {
  /** Address of this host, and whether it accepts requests. */
  own: { callerAddress: string; isReady: boolean };
  /** The other live hosts. */
  live: readonly KnownHost[];
}

/** Chooses the addresses that callers should use: those of ready hosts, this one first. If there are more than fit into
 * one response, each host returns a different subset, so that all hosts are returned about equally often. The list is
 * empty if no host is ready, so that the caller asks another host or keeps the addresses it has.
 * @param options This host and the other live hosts. */
export function chooseAddresses(options: ChooseAddressesOptions): string[] {
  const { own, live } = options;
  const others = live.filter(({ entry }) => takesRequests(entry.phase))
    .map(({ entry }) => entry.callerAddress);
  const ready = own.isReady ? [own.callerAddress] : [];
  const remaining = MAX_ADDRESSES - ready.length;
  const chosen = others.length <= remaining
    ? others
    : rankByRendezvous(own.callerAddress, others).slice(0, remaining);
  return [...ready, ...chosen];
}
