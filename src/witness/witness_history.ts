import { parseKeyTimestamp } from "./key_timestamp.ts";
import { getWitnesses } from "./witness_set.ts";

/** Number of router lists kept; older lists predate every key that can still be in use. */
const MAX_PERIODS = 64;

interface RouterListPeriod {
  since: number;
  routerIds: readonly string[];
}

/** Tracks since when this router has been a witness of a key without interruption. */
export class WitnessHistory {
  private readonly periods: RouterListPeriod[] = [];

  private synchronizedAt = -1;

  private constructor(private readonly ownId: string) {}

  /** Creates an empty history.
   * @param ownId Id of this router. */
  static create(ownId: string): WitnessHistory {
    return new WitnessHistory(ownId);
  }

  /** Records the routers of a host list; a list equal to the last one is ignored.
   * @param routerIds Ids of the listed routers.
   * @param now Milliseconds since the epoch. */
  recordRouters(routerIds: readonly string[], now: number): void {
    const last = this.periods.at(-1);
    if (last && last.routerIds.join() === routerIds.join()) return;
    this.periods.push({ since: now, routerIds });
    if (this.periods.length > MAX_PERIODS) this.periods.shift();
  }

  /** Records that this router has received the records of all other routers.
   * @param startedAt Milliseconds since the epoch at which it started to request them. */
  markSynchronized(startedAt: number): void {
    this.synchronizedAt = startedAt;
  }

  /** Whether this router has received the records of all other routers since it started. */
  get isSynchronized(): boolean {
    return this.synchronizedAt >= 0;
  }

  /** Returns the time since which this router has been a witness of the key, in milliseconds since the epoch; undefined
   * if it is not a witness of it.
   * @param key The idempotency key. */
  getSince(key: string): number | undefined {
    let since: number | undefined;
    for (const period of [...this.periods].reverse()) {
      if (!getWitnesses(key, period.routerIds).includes(this.ownId)) break;
      since = period.since;
    }
    return since;
  }

  /** Whether this router would know of any earlier attempt with the key. That holds if it was a witness of the key when
   * it requested the records of all other routers, or before the key was created (known for a version 7 UUID only),
   * or for at least `settleMs`.
   * @param key The idempotency key.
   * @param settleMs Time after which a new witness counts as settled.
   * @param clockSkewMs Tolerated clock skew between the creator of the key and this router.
   * @param now Milliseconds since the epoch. */
  isSettled(
    key: string,
    settleMs: number,
    clockSkewMs: number,
    now: number,
  ): boolean {
    const since = this.getSince(key);
    if (since === undefined) return false;
    const createdAt = parseKeyTimestamp(key);
    const wasWitnessBefore = createdAt !== undefined &&
      createdAt <= now + clockSkewMs && since + clockSkewMs < createdAt;
    return since <= this.synchronizedAt || wasWitnessBefore ||
      now - since >= settleMs;
  }
}
