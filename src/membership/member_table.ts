import type { Rumour } from "./rumour.ts";
import { RumourQueue } from "./rumour_queue.ts";

/** A listed router and its last known state. */
export interface Member extends Rumour {
  /** Monotonic milliseconds at which the status last changed. */
  statusChangedAt: number;
}

/** Within one incarnation, a status overrides those of lower rank. */
const STATUS_RANK: Readonly<Record<Rumour["status"], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** The status of every other listed router, as known to one router.
 * Only the host list adds and removes members; probes and rumours only change their status. */
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
   * @param ownId Id of the router that owns the table.
   * @param incarnation Its initial incarnation, greater than that of any earlier process with this id.
   * @param suspicionMs Time after which a suspected member is declared dead. */
  static create(
    ownId: string,
    incarnation: number,
    suspicionMs: number,
  ): MemberTable {
    return new MemberTable(ownId, incarnation, suspicionMs);
  }

  /** Adds routers that are newly listed, as alive, and removes those that are no longer listed.
   * @param ids Ids of all listed routers.
   * @param now Monotonic milliseconds. */
  setListedRouters(ids: readonly string[], now: number): void {
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
        statusChangedAt: now,
      });
    }
  }

  /** Merges a rumour received from another router; one that claims this router to be suspect or dead is refuted.
   * @param rumour The rumour.
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

  /** Marks a member alive after it sent a message or acknowledged a probe.
   * @param state State that the member reports about itself.
   * @param now Monotonic milliseconds. */
  markAlive(state: Omit<Rumour, "status">, now: number): void {
    const member = this.members.get(state.id);
    if (!member || state.incarnation < member.incarnation) return;
    if (
      member.status === "alive" && member.unavailable === state.unavailable &&
      member.incarnation === state.incarnation
    ) {
      return;
    }
    this.update(member, { ...state, status: "alive" }, now);
  }

  /** Marks a member suspect after it failed to acknowledge a probe; a member that is suspect or dead is left as it is.
   * @param id Id of the member.
   * @param now Monotonic milliseconds. */
  markSuspect(id: string, now: number): void {
    const member = this.members.get(id);
    if (member?.status === "alive") {
      this.update(member, { ...member, status: "suspect" }, now);
    }
  }

  /** Declares members dead that have been suspect for the suspicion time.
   * @param now Monotonic milliseconds. */
  expireSuspicions(now: number): void {
    for (const member of this.members.values()) {
      if (
        member.status === "suspect" &&
        now - member.statusChangedAt >= this.suspicionMs
      ) {
        this.update(member, { ...member, status: "dead" }, now);
      }
    }
  }

  /** Sets whether this router is unavailable, which it is initially. The new incarnation makes the state override the
   * earlier one.
   * @param isUnavailable Whether callers and work should go to other routers. */
  setUnavailable(isUnavailable: boolean): void {
    this.isUnavailable = isUnavailable;
    this.ownIncarnation += 1;
    this.changeCount += 1;
  }

  /** Returns the state that this router reports about itself. */
  getOwnRumour(): Rumour {
    return {
      id: this.ownId,
      incarnation: this.ownIncarnation,
      status: "alive",
      unavailable: this.isUnavailable,
    };
  }

  /** Number of changes of state so far, not counting routers that the host list added or removed. */
  get changes(): number {
    return this.changeCount;
  }

  /** Returns all members; this router is not one of them. */
  getMembers(): Member[] {
    return [...this.members.values()];
  }

  /** Returns a member, or undefined if it is not listed.
   * @param id Id of the member. */
  getMember(id: string): Member | undefined {
    return this.members.get(id);
  }

  /** Returns rumours to piggyback on the next message, those transmitted least often first.
   * @param limit Maximum number of rumours. */
  takeRumours(limit: number): Rumour[] {
    return this.rumours.take(limit, this.members.size).flatMap((id) => {
      const member = this.members.get(id);
      return member ? toRumour(member) : [];
    });
  }

  private update(member: Member, rumour: Rumour, now: number): void {
    if (member.status !== rumour.status) member.statusChangedAt = now;
    member.incarnation = rumour.incarnation;
    member.status = rumour.status;
    member.unavailable = rumour.unavailable;
    this.rumours.add(member.id);
    this.changeCount += 1;
  }

  /** Refutes a rumour that this router is suspect or dead, by an incarnation greater than the rumour's. */
  private refute(rumour: Rumour): void {
    if (
      rumour.status !== "alive" && rumour.incarnation >= this.ownIncarnation
    ) {
      this.ownIncarnation = rumour.incarnation + 1;
    }
  }
}

/** Whether a rumour overrides the known state: by a newer incarnation, or within one by a status of higher rank or by
 * reporting the router unavailable. */
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
