import type { Rumour } from "./rumour.ts";
import { RumourQueue } from "./rumour_queue.ts";

/** A router of the published list with what is believed of it. */
export interface Member extends Rumour {
  /** Monotonic milliseconds of the last change of status. */
  changedAt: number;
}

const STATUS_RANK: Readonly<Record<Rumour["status"], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** What one router believes of the routers on the published list.
 * The list alone adds and removes members; probes only decide whether a member is used. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly rumours = RumourQueue.create<string>();
  private ownIncarnation: number;
  private isUnavailable = true;
  private changeCount = 0;

  private constructor(
    private readonly ownId: string,
    incarnation: number,
    private readonly suspicionMs: number,
  ) {
    this.ownIncarnation = incarnation;
  }

  /** Creates an empty table.
   * @param ownId Id of the router that holds the table.
   * @param incarnation Its first incarnation; greater than that of any earlier process of the id.
   * @param suspicionMs Time from suspicion to death. */
  static create(
    ownId: string,
    incarnation: number,
    suspicionMs: number,
  ): MemberTable {
    return new MemberTable(ownId, incarnation, suspicionMs);
  }

  /** Takes over a published list.
   * @param ids Ids of the routers on it.
   * @param now Monotonic milliseconds. */
  applyList(ids: readonly string[], now: number): void {
    const listed = new Set(ids);
    for (const id of this.members.keys()) {
      if (!listed.has(id)) this.members.delete(id);
    }
    for (const id of ids) {
      if (id === this.ownId || this.members.has(id)) continue;
      this.members.set(id, {
        id,
        incarnation: 0,
        status: "alive",
        unavailable: false,
        changedAt: now,
      });
    }
  }

  /** Merges what another router believes.
   * @param rumour The belief.
   * @param now Monotonic milliseconds. */
  applyRumour(rumour: Rumour, now: number): void {
    if (rumour.id === this.ownId) return this.refute(rumour);
    const member = this.members.get(rumour.id);
    if (!member || !supersedes(rumour, member)) return;
    const unavailable = rumour.incarnation > member.incarnation
      ? rumour.unavailable
      : member.unavailable || rumour.unavailable;
    this.update(member, { ...rumour, unavailable }, now);
  }

  /** Records an answer that came from the member itself.
   * @param self What the member says of itself.
   * @param now Monotonic milliseconds. */
  markHeard(self: Omit<Rumour, "status">, now: number): void {
    const member = this.members.get(self.id);
    if (!member || self.incarnation < member.incarnation) return;
    if (
      member.status === "alive" && member.unavailable === self.unavailable &&
      member.incarnation === self.incarnation
    ) {
      return;
    }
    this.update(member, { ...self, status: "alive" }, now);
  }

  /** Records that a member did not answer.
   * @param id The member.
   * @param now Monotonic milliseconds. */
  markSilent(id: string, now: number): void {
    const member = this.members.get(id);
    if (member?.status === "alive") {
      this.update(member, { ...member, status: "suspect" }, now);
    }
  }

  /** Turns suspicions that have lasted long enough into deaths.
   * @param now Monotonic milliseconds. */
  expireSuspicions(now: number): void {
    for (const member of this.members.values()) {
      if (
        member.status === "suspect" &&
        now - member.changedAt >= this.suspicionMs
      ) {
        this.update(member, { ...member, status: "dead" }, now);
      }
    }
  }

  /** Says whether callers and work should go elsewhere; at first they should.
   * @param isUnavailable Whether they should. */
  setUnavailable(isUnavailable: boolean): void {
    this.isUnavailable = isUnavailable;
    this.ownIncarnation += 1;
    this.changeCount += 1;
  }

  /** What this router says of itself. */
  getSelf(): Rumour {
    return {
      id: this.ownId,
      incarnation: this.ownIncarnation,
      status: "alive",
      unavailable: this.isUnavailable,
    };
  }

  /** Number of changes so far; equal numbers mean an equal table. */
  get changes(): number {
    return this.changeCount;
  }

  /** The members, without this router. */
  getMembers(): Member[] {
    return [...this.members.values()];
  }

  /** Returns a member, or nothing where the list does not hold it.
   * @param id The member's id. */
  getMember(id: string): Member | undefined {
    return this.members.get(id);
  }

  /** Takes the rumours to put on the next message, those least passed on first.
   * @param limit Most rumours taken. */
  takeRumours(limit: number): Rumour[] {
    return this.rumours.take(limit, this.members.size).flatMap((id) => {
      const member = this.members.get(id);
      return member ? toRumour(member) : [];
    });
  }

  private update(member: Member, belief: Rumour, now: number): void {
    if (member.status !== belief.status) member.changedAt = now;
    member.incarnation = belief.incarnation;
    member.status = belief.status;
    member.unavailable = belief.unavailable;
    this.rumours.add(member.id);
    this.changeCount += 1;
  }

  private refute(rumour: Rumour): void {
    if (
      rumour.status !== "alive" && rumour.incarnation >= this.ownIncarnation
    ) {
      this.ownIncarnation = rumour.incarnation + 1;
    }
  }
}

function supersedes(rumour: Rumour, member: Member): boolean {
  if (rumour.incarnation !== member.incarnation) {
    return rumour.incarnation > member.incarnation;
  }
  if (STATUS_RANK[rumour.status] > STATUS_RANK[member.status]) return true;
  return rumour.status === member.status && rumour.unavailable &&
    !member.unavailable;
}

function toRumour(member: Member): Rumour {
  const { id, incarnation, status, unavailable } = member;
  return { id, incarnation, status, unavailable };
}
