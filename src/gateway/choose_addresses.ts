import type { KnownHost } from "../peers/known_host.ts";

/** Most addresses in one answer. */
const MAX_ADDRESSES = 64;

/** What an answer with addresses is made from. */
export interface AddressOptions {
  /** Address of this host, and whether it takes requests. */
  own: { callerAddress: string; isReady: boolean };
  /** Other hosts that are heard. */
  live: readonly KnownHost[];
}

/** The addresses that callers should use: of hosts that are ready. Where none is known there are none, so that the
 * caller asks another host or keeps the addresses it has.
 * @param options What the answer is made from. */
export function chooseAddresses(options: AddressOptions): string[] {
  const { own, live } = options;
  const ready = live.filter((host) => host.entry.phase === "ready").map((
    host,
  ) => host.entry.callerAddress);
  if (own.isReady) ready.push(own.callerAddress);
  return ready.slice(0, MAX_ADDRESSES);
}
