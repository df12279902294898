import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { HostRumour } from "./host_rumour.ts";
import type { HostTable } from "./host_table.ts";
import type { RumourSpread } from "./rumour_disseminator.ts";
import type { SelfDescription } from "./local_host_state.ts";

/** Least time between two questions for the entries of unknown hosts, in milliseconds. */
const QUESTION_INTERVAL_MS = 100;

/** What a receiver of rumours needs. */
export interface RumourReceiverOptions {
  logger: Logger;
  socket: DatagramPort;
  hosts: HostTable;
  self: SelfDescription;
  spread: RumourSpread;
  timeline: Timeline;
}

/** Merges other hosts' rumours, refutes those of this host's failure, and asks for the entries of hosts it lacks. */
export class RumourReceiver {
  private questionedAt = -Infinity;

  private constructor(private readonly options: RumourReceiverOptions) {
    options.socket.handle(
      "host_rumours",
      ({ rumours }, sender) => this.take(rumours, sender),
    );
  }

  /** Creates a receiver.
   * @param options What it needs. */
  static create(options: RumourReceiverOptions): RumourReceiver {
    return new RumourReceiver(options);
  }

  /** Merges rumours.
   * @param rumours The rumours.
   * @param sender Gossip address of the host that sent them. */
  take(rumours: readonly HostRumour[], sender: string): void {
    const { hosts, self, timeline } = this.options;
    const now = timeline.read();
    const unknown: number[] = [];
    for (const rumour of rumours) {
      if (rumour.name === self.name) this.refute(rumour);
      else if (!hosts.applyRumour(rumour, now) && rumour.status === "alive") {
        unknown.push(rumour.name);
      }
    }
    if (unknown.length > 0) this.askForEntries(sender, unknown, now);
  }

  private refute(rumour: HostRumour): void {
    const { logger, self, spread } = this.options;
    if (!self.refute(rumour)) return;
    const { status, incarnation } = rumour;
    logger.info({ status, incarnation }, "own_failure_refuted");
    spread.add(self.name);
    spread.hurry();
  }

  private askForEntries(sender: string, names: number[], now: number): void {
    if (now - this.questionedAt < QUESTION_INTERVAL_MS) return;
    this.questionedAt = now;
    this.options.socket.send(sender, { type: "host_question", names });
  }
}
