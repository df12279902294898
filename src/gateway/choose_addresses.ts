import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { KnownHost } from "../peers/known_host.ts";

/** Most addresses in one answer. */
const MAX_ADDRESSES = 64;

/** What an answer with addresses is made from. */
export interface ChooseAddressesOptions {
  /** Address of this host, and whether it takes requests. */
  own: { callerAddress: string; isReady: boolean };
  /** Other hosts that are taken for live. */
  live: readonly KnownHost[];
}

/** The addresses that callers should use: of hosts that are ready, this one first. Where there are more than fit, each host
 * names others of them, so that all are named about as often. Where none is known there are none, so that the caller asks
 * another host or keeps the addresses it has.
 * @param options What the answer is made from. */
export function chooseAddresses(options: ChooseAddressesOptions): string[] {
  const { own, live } = options;
  const others = live.filter((host) => host.entry.phase === "ready").map((
    host,
  ) => host.entry.callerAddress);
  const ready = own.isReady ? [own.callerAddress] : [];
  const left = MAX_ADDRESSES - ready.length;
  const named = others.length <= left
    ? others
    : rankByRendezvous(own.callerAddress, others).slice(0, left);
  return [...ready, ...named];
}
