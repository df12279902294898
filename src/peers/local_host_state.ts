import { hashText } from "../hashing/hasher.ts";
import type { PeerEntry } from "./gossip_schema.ts";
import type { HostPhase } from "./host_phase.ts";
import type { HostRumour } from "./host_rumour.ts";

/** The state that this host advertises about itself, ordered by incarnation and sequence number. */
export class LocalHostState {
  /** Hash of this host's gossip address. */
  readonly name: number;
  private sequence = 0;
  private phase: HostPhase | undefined;

  private constructor(
    address: string,
    private currentIncarnation: number,
    private readonly describeSelf: () => Omit<
      PeerEntry,
      "incarnation" | "sequence"
    >,
  ) {
    this.name = hashText(address);
  }

  /** Creates the state.
   * @param address Gossip address of this host.
   * @param firstIncarnation Initial incarnation.
   * @param describeSelf Returns the fields that the rest of the process sets. */
  static create(
    address: string,
    firstIncarnation: number,
    describeSelf: () => Omit<PeerEntry, "incarnation" | "sequence">,
  ): LocalHostState {
    return new LocalHostState(address, firstIncarnation, describeSelf);
  }

  /** Current incarnation. */
  get incarnation(): number {
    return this.currentIncarnation;
  }

  /** Starts a gossip round, whose entry supersedes that of the previous round. */
  startRound(): void {
    this.sequence += 1;
  }

  /** Updates the phase and returns whether it has changed. Except at the first call, a change increments the
   * incarnation, so that rumours with the former phase are outdated. */
  updatePhase(): boolean {
    const { phase } = this.describeSelf();
    if (phase === this.phase) return false;
    if (this.phase !== undefined) this.currentIncarnation += 1;
    this.phase = phase;
    return true;
  }

  /** Refutes a rumour about this host, if necessary, by a higher incarnation; returns whether that was necessary.
   * @param rumour The rumour. */
  refute({ incarnation, status }: HostRumour): boolean {
    const isOutdated = incarnation < this.currentIncarnation ||
      (incarnation === this.currentIncarnation && status === "alive");
    if (isOutdated) return false;
    this.currentIncarnation = incarnation + 1;
    return true;
  }

  /** Returns the entry that is gossiped to other hosts. */
  getEntry(): PeerEntry {
    const { currentIncarnation: incarnation, sequence } = this;
    return { ...this.describeSelf(), incarnation, sequence };
  }

  /** Returns the rumour that this host is alive. */
  getRumour(): HostRumour {
    const { name, currentIncarnation: incarnation } = this;
    const { phase } = this.describeSelf();
    return { name, incarnation, status: "alive", phase, agoMs: 0 };
  }
}
