import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import { RumourQueue } from "../membership/rumour_queue.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { GossipTargets } from "./gossip_targets.ts";
import type { HostRumour } from "./host_rumour.ts";
import type { HostTable } from "./host_table.ts";
import type { LocalHostState } from "./local_host_state.ts";

/** Maximum number of rumours in a datagram. */
const MAX_RUMOURS_PER_DATAGRAM = 24;
/** Time for which rumours are batched before they are sent ahead of the next round, in milliseconds. */
const BATCH_DELAY_MS = 50;

/** Dependencies of a rumour disseminator. */
export interface RumourDisseminatorOptions {
  socket: DatagramPort;
  hosts: HostTable;
  targets: GossipTargets;
  self: LocalHostState;
  timeline: Timeline;
}

/** Disseminates membership updates: piggybacked on gossip messages and probe acknowledgements, and sent ahead of the
 * next round after a change. */
export class RumourDisseminator {
  private readonly queue = RumourQueue.create<number>();
  private stopTimer: CancelTimer | undefined;

  private constructor(private readonly options: RumourDisseminatorOptions) {}

  /** Creates a disseminator without rumours.
   * @param options Its dependencies. */
  static create(options: RumourDisseminatorOptions): RumourDisseminator {
    return new RumourDisseminator(options);
  }

  /** Queues the rumour about a host.
   * @param name Hash of the host's gossip address; the host may be this one. */
  add(name: number): void {
    this.queue.add(name);
  }

  /** Returns the rumours for the next datagram. */
  takeBatch(): HostRumour[] {
    const { hosts, self, timeline } = this.options;
    return this.queue.take(MAX_RUMOURS_PER_DATAGRAM, hosts.size).flatMap(
      (name) => {
        if (name === self.name) return self.getRumour();
        const host = hosts.findByName(name);
        return host ? hosts.buildRumour(host, timeline.read()) : [];
      },
    );
  }

  /** Sends rumours ahead of the next round in a large fleet; rumours queued until then are included. */
  sendSoon(): void {
    const { hosts, targets, timeline } = this.options;
    if (!hosts.isLarge) return;
    this.stopTimer ??= timeline.after(BATCH_DELAY_MS, () => {
      this.stopTimer = undefined;
      for (const address of targets.chooseLive(timeline.read())) {
        this.send(address, this.takeBatch());
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

  /** Cancels the pending batch. */
  close(): void {
    this.stopTimer?.();
  }
}
