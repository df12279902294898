import { getMostUntold } from "./told_loads.ts";

/** Time over which the own load is remembered: the lag of reports and their interval. */
const WINDOW_MS = 2_000;

interface Sample {
  at: number;
  own: number;
}

/** Time after a takeover in which reports may show requests of the former owner. */
const TAKEOVER_MS = 3_000;
/** Time after a takeover, or a pause of this process, in which reports may still lack requests of the other owner, in
 * milliseconds: until that one hears this router, and three times the usual lag of a report. */
export const REPORTS_LACK_MS = 1_000;

/** Works out what an upstream carries for other routers, from its lagging report.
 * What the report shows beyond the most that this router had running during the lag is foreign.
 * After a takeover the own requests are too new to be in the report, but for those taken over with the upstream;
 * only these are subtracted then. */
export class ForeignLoad {
  private samples: Sample[] = [];
  private foreign = 0;
  private leastForeign = 0;
  private takeoverEndsAt = -1;
  private reportsLackUntil = -1;
  /** Requests that the former owner may have left running, but for those that were taken over since. */
  private leftBehind = 0;

  private constructor() {}

  /** Creates one without a report. */
  static create(): ForeignLoad {
    return new ForeignLoad();
  }

  /** Records the own load after each change.
   * @param own Requests this router has running.
   * @param now Monotonic milliseconds. */
  recordOwn(own: number, now: number): void {
    const last = this.samples.at(-1);
    if (last && last.at === now) last.own = Math.max(last.own, own);
    else this.samples.push({ at: now, own });
  }

  /** Takes a report.
   * @param inFlight Requests the upstream says it carries.
   * @param resumed Own requests that a former owner had sent.
   * @param now Monotonic milliseconds. */
  recordReport(inFlight: number, resumed: number, now: number): void {
    this.samples = dropOld(this.samples, now - WINDOW_MS);
    const most = this.samples.reduce(
      (maximum, sample) => Math.max(maximum, sample.own),
      0,
    );
    this.leastForeign = Math.max(0, inFlight - most);
    this.foreign = now < this.takeoverEndsAt
      ? Math.max(0, inFlight - resumed)
      : this.leastForeign;
    if (now < this.reportsLackUntil) {
      this.foreign = Math.max(this.foreign, this.leftBehind);
    }
  }

  /** Begins a takeover: what the former owner last told, and what it may have started since, is foreign until reports
   * can't lack it any more. Where it told of none it has at most one, for which the bound keeps a place; to hold back more
   * would leave idle upstreams unused for a second after each change of owner.
   * @param told Load that the former owner last told.
   * @param now Monotonic milliseconds. */
  takeOver(told: number, now: number): void {
    if (told <= 0) return;
    this.takeoverEndsAt = now + TAKEOVER_MS;
    this.reportsLackUntil = now + REPORTS_LACK_MS;
    this.leftBehind = told + getMostUntold(told);
    this.foreign = Math.max(this.foreign, this.leftBehind);
  }

  /** Begins anew after a pause of this process, in which another router may have owned the upstream: all that reports
   * show is foreign for a while, for the own load from before the pause may explain none of it.
   * @param now Monotonic milliseconds. */
  startAfterPause(now: number): void {
    this.takeoverEndsAt = now + TAKEOVER_MS;
  }

  /** Counts one foreign request as own from now on. */
  resumeOne(): void {
    this.foreign = Math.max(0, this.foreign - 1);
    this.leastForeign = Math.max(0, this.leastForeign - 1);
    this.leftBehind = Math.max(0, this.leftBehind - 1);
  }

  /** Requests that other routers have running at least; the mean is made of these, for it must not be too high. */
  get leastLoad(): number {
    return this.leastForeign;
  }

  /** Requests that other routers are taken to have running. */
  get load(): number {
    return this.foreign;
  }
}

/** Drops samples that ended before a time; the last one before it still held at that time and stays. */
function dropOld(samples: Sample[], since: number): Sample[] {
  const firstInside = samples.findIndex((sample) => sample.at >= since);
  if (firstInside < 0) return samples.slice(-1);
  return samples.slice(Math.max(0, firstInside - 1));
}
