import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { HostRumour } from "./host_rumour.ts";
import type { HostTable } from "./host_table.ts";
import type { RumourDisseminator } from "./rumour_disseminator.ts";
import type { LocalHostState } from "./local_host_state.ts";

/** Minimum time between two requests for the entries of unknown hosts, in milliseconds. */
const MIN_REQUEST_INTERVAL_MS = 100;

/** Dependencies of a rumour receiver. */
export interface RumourReceiverOptions {
  logger: Logger;
  socket: DatagramPort;
  hosts: HostTable;
  self: LocalHostState;
  disseminator: RumourDisseminator;
  timeline: Timeline;
}

/** Applies rumours from other hosts, refutes those that this host is suspect or failed, and requests the entries of
 * unknown hosts. */
export class RumourReceiver {
  private requestedAt = -Infinity;

  private constructor(private readonly options: RumourReceiverOptions) {
    options.socket.handle(
      "host_rumours",
      ({ rumours }, sender) => this.apply(rumours, sender),
    );
  }

  /** Creates a receiver.
   * @param options Its dependencies. */
  static create(options: RumourReceiverOptions): RumourReceiver {
    return new RumourReceiver(options);
  }

  /** Applies rumours.
   * @param rumours The rumours.
   * @param sender Gossip address of the host that sent them. */
  apply(rumours: readonly HostRumour[], sender: string): void {
    const { hosts, self, timeline } = this.options;
    const now = timeline.read();
    const unknown: number[] = [];
    for (const rumour of rumours) {
      if (rumour.name === self.name) this.refute(rumour);
      else if (!hosts.applyRumour(rumour, now) && rumour.status === "alive") {
        unknown.push(rumour.name);
      }
    }
    if (unknown.length > 0) this.requestEntries(sender, unknown, now);
  }

  private refute(rumour: HostRumour): void {
    const { logger, self, disseminator } = this.options;
    if (!self.refute(rumour)) return;
    const { status, incarnation } = rumour;
    logger.info({ status, incarnation }, "own_failure_refuted");
    disseminator.add(self.name);
    disseminator.sendSoon();
  }

  private requestEntries(sender: string, names: number[], now: number): void {
    if (now - this.requestedAt < MIN_REQUEST_INTERVAL_MS) return;
    this.requestedAt = now;
    this.options.socket.send(sender, { type: "host_entries_request", names });
  }
}
