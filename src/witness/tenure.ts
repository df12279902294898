import { readKeyTime } from "./key_time.ts";
import { getWitnesses } from "./witness_set.ts";

/** Lists remembered; older ones are further back than any key is awaited. */
const MAX_LISTS = 64;

interface ListPeriod {
  since: number;
  routerIds: readonly string[];
}

/** Knows since when this router has been a witness of a key without a break. */
export class Tenure {
  private readonly periods: ListPeriod[] = [];

  private synchronizedAt = -1;

  private constructor(private readonly ownId: string) {}

  /** Creates one that has seen no list.
   * @param ownId This router. */
  static create(ownId: string): Tenure {
    return new Tenure(ownId);
  }

  /** Records a list of routers.
   * @param routerIds The listed routers.
   * @param now Milliseconds since the epoch. */
  recordList(routerIds: readonly string[], now: number): void {
    const last = this.periods.at(-1);
    if (last && last.routerIds.join() === routerIds.join()) return;
    this.periods.push({ since: now, routerIds });
    if (this.periods.length > MAX_LISTS) this.periods.shift();
  }

  /** Records that this router got the records of all others.
   * @param startedAt Milliseconds since the epoch at which it began to ask. */
  markSynchronized(startedAt: number): void {
    this.synchronizedAt = startedAt;
  }

  /** Whether this router got the records of all others since it started. */
  get isSynchronized(): boolean {
    return this.synchronizedAt >= 0;
  }

  /** Since when this router has been a witness of the key, or nothing where it is none.
   * @param key The idempotency key. */
  getSince(key: string): number | undefined {
    let since: number | undefined;
    for (const period of [...this.periods].reverse()) {
      if (!getWitnesses(key, period.routerIds).includes(this.ownId)) break;
      since = period.since;
    }
    return since;
  }

  /** Whether this router would know of any earlier attempt with the key: it was a witness when it got the records
   * of all others, or before the key was made, where the key is a version 7 UUID that tells, or for long enough.
   * @param key The idempotency key.
   * @param settleMs Time that is long enough.
   * @param clockSkewMs Difference of clocks allowed for.
   * @param now Milliseconds since the epoch. */
  isSettled(
    key: string,
    settleMs: number,
    clockSkewMs: number,
    now: number,
  ): boolean {
    const since = this.getSince(key);
    if (since === undefined) return false;
    const madeAt = readKeyTime(key);
    const isOlderThanKey = madeAt !== undefined &&
      madeAt <= now + clockSkewMs && since + clockSkewMs < madeAt;
    return since <= this.synchronizedAt || isOlderThanKey ||
      now - since >= settleMs;
  }
}
