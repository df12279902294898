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

  /** Whether this router would know of any earlier attempt with the key: it has been a witness since before
   * the key was made, where the key is a version 7 UUID that tells, or else for long enough.
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
    if (madeAt !== undefined && madeAt <= now + clockSkewMs) {
      return since + clockSkewMs < madeAt || now - since >= settleMs;
    }
    return now - since >= settleMs;
  }
}
