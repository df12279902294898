import type { PeerEntry } from "./gossip_schema.ts";
import type { HostState } from "./known_host.ts";

/** Time for which the digests of live hosts may differ before a host pulls the host table of another, in milliseconds;
 * rumours reach all hosts in less. */
const MISMATCH_TOLERANCE_MS = 1_200;
/** Minimum time between two pulls, in milliseconds; shorter while this host starts and knows few others. */
const MIN_PULL_INTERVAL_MS = { starting: 400, settled: 1_200 } as const;

/** Reads the host table of another host.
 * @param host The other host.
 * @param done Called with the states read, or with undefined if the other host did not respond. */
export type ReadHosts = (
  host: PeerEntry,
  done: (states: readonly HostState[] | undefined) => void,
) => void;

/** Anti-entropy: pulls the host table of another host when the two persistently differ in which hosts they consider
 * live. */
export class HostTablePull {
  private isPulling = false;
  private pulledAt = -Infinity;
  private mismatchSince: number | undefined;

  private constructor(
    private readonly readHosts: ReadHosts,
    private readonly mergeStates: (states: readonly HostState[]) => void,
  ) {}

  /** Creates a pull.
   * @param readHosts Reads the host table of another host.
   * @param mergeStates Merges the states read. */
  static create(
    readHosts: ReadHosts,
    mergeStates: (states: readonly HostState[]) => void,
  ): HostTablePull {
    return new HostTablePull(readHosts, mergeStates);
  }

  /** Records that another host considers the same hosts live. */
  recordDigestMatch(): void {
    this.mismatchSince = undefined;
  }

  /** Records that another host considers other hosts live, and pulls its table if the difference has lasted.
   * @param host The other host.
   * @param isStarting Whether this host has just started.
   * @param now Monotonic milliseconds. */
  recordDigestMismatch(
    host: PeerEntry,
    isStarting: boolean,
    now: number,
  ): void {
    this.mismatchSince ??= now;
    const toleranceMs = isStarting ? 0 : MISMATCH_TOLERANCE_MS;
    const intervalMs =
      MIN_PULL_INTERVAL_MS[isStarting ? "starting" : "settled"];
    const isDue = now - this.mismatchSince >= toleranceMs &&
      now - this.pulledAt >= intervalMs;
    if (this.isPulling || !isDue) return;
    this.pulledAt = now;
    this.isPulling = true;
    this.readHosts(host, (states) => {
      this.isPulling = false;
      if (states) this.mergeStates(states);
    });
  }
}
