import type { StopTimer, Timeline } from "../clock/timeline.ts";
import { RumourQueue } from "../membership/rumour_queue.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { FleetTargets } from "./gossip_targets.ts";
import type { HostRumour } from "./host_rumour.ts";
import type { HostTable } from "./host_table.ts";
import type { SelfDescription } from "./local_host_state.ts";

/** Rumours in one datagram. */
const MAX_RUMOURS = 24;
/** Time in which rumours are gathered before they are sent ahead of the next round, in milliseconds. */
const GATHER_MS = 50;

/** What the spread of rumours needs. */
export interface RumourSpreadOptions {
  socket: DatagramPort;
  hosts: HostTable;
  targets: FleetTargets;
  self: SelfDescription;
  timeline: Timeline;
}

/** Disseminates beliefs about hosts: piggybacked on every message, and sent ahead of the next round when they change. */
export class RumourSpread {
  private readonly queue = RumourQueue.create<number>();
  private stopTimer: StopTimer | undefined;

  private constructor(private readonly options: RumourSpreadOptions) {}

  /** Creates a spread without rumours.
   * @param options What it needs. */
  static create(options: RumourSpreadOptions): RumourSpread {
    return new RumourSpread(options);
  }

  /** Queues the rumour about a host.
   * @param name Short name of the host, which may be this one. */
  add(name: number): void {
    this.queue.add(name);
  }

  /** Takes the rumours that go on the next datagram. */
  take(): HostRumour[] {
    const { hosts, self, timeline } = this.options;
    return this.queue.take(MAX_RUMOURS, hosts.size).flatMap((name) => {
      if (name === self.name) return self.getRumour();
      const host = hosts.findByName(name);
      return host ? hosts.describe(host, timeline.read()) : [];
    });
  }

  /** Sends rumours ahead of the next round; what comes up meanwhile is sent along. */
  hurry(): void {
    const { hosts, targets, timeline } = this.options;
    if (!hosts.isLarge) return;
    this.stopTimer ??= timeline.after(GATHER_MS, () => {
      this.stopTimer = undefined;
      for (const address of targets.chooseLive(timeline.read())) {
        this.send(address, this.take());
      }
    });
  }

  /** Sends rumours to a host.
   * @param address Its gossip address.
   * @param rumours The rumours. */
  send(address: string, rumours: readonly HostRumour[]): void {
    if (rumours.length === 0) return;
    this.options.socket.send(address, { type: "host_rumours", rumours });
  }

  /** Ends what waits. */
  close(): void {
    this.stopTimer?.();
  }
}
