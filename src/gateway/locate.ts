import type { KnownHost } from "../peers/host_table.ts";

/** Most addresses in one answer. */
const MAX_ADDRESSES = 64;

/** What an answer with addresses is made from. */
export interface LocateOptions {
  /** Address and phase of this host. */
  own: { callerAddress: string; isReady: boolean; isDraining: boolean };
  /** Other hosts that are heard. */
  live: readonly KnownHost[];
}

/** The addresses that callers should use: of hosts that are ready; where none is, of any that is not stopping.
 * @param options What the answer is made from. */
export function chooseAddresses(options: LocateOptions): string[] {
  const { own, live } = options;
  const ready = live.filter((host) => host.entry.phase === "ready").map((
    host,
  ) => host.entry.callerAddress);
  if (own.isReady) ready.push(own.callerAddress);
  if (ready.length > 0) return ready.slice(0, MAX_ADDRESSES);
  const others = live.filter((host) => host.entry.phase !== "draining").map((
    host,
  ) => host.entry.callerAddress);
  if (!own.isDraining) others.push(own.callerAddress);
  return others.slice(0, MAX_ADDRESSES);
}
