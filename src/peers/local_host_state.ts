import { hashText } from "../hashing/hasher.ts";
import type { PeerEntry } from "./gossip_schema.ts";
import type { HostPhase } from "./host_phase.ts";
import type { HostRumour } from "./host_rumour.ts";

/** What this host tells of itself, with the incarnation that orders it. */
export class SelfDescription {
  /** Short name of this host's gossip address. */
  readonly name: number;
  private sequence = 0;
  private phase: HostPhase | undefined;

  private constructor(
    address: string,
    private currentIncarnation: number,
    private readonly describe: () => Omit<
      PeerEntry,
      "incarnation" | "sequence"
    >,
  ) {
    this.name = hashText(address);
  }

  /** Creates a description.
   * @param address Gossip address of this host.
   * @param firstIncarnation The incarnation to begin with.
   * @param describe The fields that the rest of the process fills in. */
  static create(
    address: string,
    firstIncarnation: number,
    describe: () => Omit<PeerEntry, "incarnation" | "sequence">,
  ): SelfDescription {
    return new SelfDescription(address, firstIncarnation, describe);
  }

  /** The incarnation in force. */
  get incarnation(): number {
    return this.currentIncarnation;
  }

  /** Begins another round, whose description outdates that of the last. */
  startRound(): void {
    this.sequence += 1;
  }

  /** Takes over a changed phase; returns whether it has changed. Rumours of the former phase are then outdated. */
  updatePhase(): boolean {
    const { phase } = this.describe();
    if (phase === this.phase) return false;
    if (this.phase !== undefined) this.currentIncarnation += 1;
    this.phase = phase;
    return true;
  }

  /** Outdates another host's belief about this one; returns whether it had to be refuted.
   * @param rumour The belief. */
  refute({ incarnation, status }: HostRumour): boolean {
    const isOutdated = incarnation < this.currentIncarnation ||
      (incarnation === this.currentIncarnation && status === "alive");
    if (isOutdated) return false;
    this.currentIncarnation = incarnation + 1;
    return true;
  }

  /** The entry that is gossiped to other hosts. */
  getEntry(): PeerEntry {
    const { currentIncarnation: incarnation, sequence } = this;
    return { ...this.describe(), incarnation, sequence };
  }

  /** The rumour that this host is alive. */
  getRumour(): HostRumour {
    const { name, currentIncarnation: incarnation } = this;
    const { phase } = this.describe();
    return { name, incarnation, status: "alive", phase, agoMs: 0 };
  }
}
