import type { PeerEntry } from "./gossip_schema.ts";
import type { HostState } from "./known_host.ts";

/** Time for which hosts may differ in whom they take for live before one asks the other for all it knows, in milliseconds:
 * rumours take less to reach all. */
const SETTLE_MS = 1_200;
/** Least time between two such questions, in milliseconds; shorter while this host starts and knows few others. */
const INTERVAL_MS = { starting: 400, settled: 1_200 } as const;

/** Reads all hosts that another knows.
 * @param host The other.
 * @param done Told what was read; nothing where the other did not answer. */
export type ReadHosts = (
  host: PeerEntry,
  done: (states: readonly HostState[] | undefined) => void,
) => void;

/** Asks another host for all hosts that it knows, where the two differ in whom they take for live. */
export class HostPull {
  private isReading = false;
  private readAt = -Infinity;
  private differsSince: number | undefined;

  private constructor(
    private readonly readHosts: ReadHosts,
    private readonly onStates: (states: readonly HostState[]) => void,
  ) {}

  /** Creates a pull.
   * @param readHosts Reads all hosts that another knows.
   * @param onStates Takes what was read. */
  static create(
    readHosts: ReadHosts,
    onStates: (states: readonly HostState[]) => void,
  ): HostPull {
    return new HostPull(readHosts, onStates);
  }

  /** Takes that another host knows the same hosts. */
  noteEqual(): void {
    this.differsSince = undefined;
  }

  /** Takes that another host does not; asks it where that has lasted.
   * @param host The other.
   * @param isStarting Whether this host has just started.
   * @param now Monotonic milliseconds. */
  noteDifferent(host: PeerEntry, isStarting: boolean, now: number): void {
    this.differsSince ??= now;
    const settleMs = isStarting ? 0 : SETTLE_MS;
    const intervalMs = INTERVAL_MS[isStarting ? "starting" : "settled"];
    const isDue = now - this.differsSince >= settleMs &&
      now - this.readAt >= intervalMs;
    if (this.isReading || !isDue) return;
    this.readAt = now;
    this.isReading = true;
    this.readHosts(host, (states) => {
      this.isReading = false;
      if (states) this.onStates(states);
    });
  }
}
