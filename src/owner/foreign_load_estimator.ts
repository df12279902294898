import { getMaximumUnadvertised } from "./advertised_loads.ts";

/** Time for which samples of the own load are kept: covers the delay of reports and the interval between them. */
const OWN_LOAD_WINDOW_MS = 2_000;

/** The own load from a point in time until the next sample. */
interface Sample {
  at: number;
  own: number;
}

/** Time after a takeover during which reports may still include requests of the former owner. */
const TAKEOVER_WINDOW_MS = 3_000;
/** Time after a takeover, or after a pause of this process, during which reports may still omit requests of the other
 * owner: the time until that owner hears from this router, plus three times the usual delay of a report. */
export const REPORT_CATCH_UP_MS = 1_000;

/** Estimates the foreign load of an upstream, which is the number of requests that other routers have in flight there.
 * Reports of the upstream are delayed, so the estimate is the reported load minus the highest own load during the
 * delay. After a takeover, own requests are too recent to appear in a report, except those resumed from the former
 * owner; only these are subtracted then. */
export class ForeignLoadEstimator {
  private samples: Sample[] = [];
  private foreign = 0;
  private minimumForeign = 0;
  private takeoverEndsAt = -1;
  private reportsIncompleteUntil = -1;
  /** Requests that the former owner may have left running, minus those that were resumed here since. */
  private formerOwnerLoad = 0;

  private constructor() {}

  /** Creates an estimator that has received no report. */
  static create(): ForeignLoadEstimator {
    return new ForeignLoadEstimator();
  }

  /** Records the own load; to be called after each change.
   * @param own Requests that this router has running.
   * @param now Monotonic time in milliseconds. */
  recordOwnLoad(own: number, now: number): void {
    const last = this.samples.at(-1);
    if (last && last.at === now) last.own = Math.max(last.own, own);
    else this.samples.push({ at: now, own });
  }

  /** Updates the estimate from a report of the upstream.
   * @param inFlight Requests in flight according to the upstream.
   * @param resumed Running requests of this router that resume requests sent by a former owner.
   * @param now Monotonic time in milliseconds. */
  recordReport(inFlight: number, resumed: number, now: number): void {
    this.samples = dropSamplesBefore(this.samples, now - OWN_LOAD_WINDOW_MS);
    const maximumOwn = this.samples.reduce(
      (maximum, sample) => Math.max(maximum, sample.own),
      0,
    );
    this.minimumForeign = Math.max(0, inFlight - maximumOwn);
    this.foreign = now < this.takeoverEndsAt
      ? Math.max(0, inFlight - resumed)
      : this.minimumForeign;
    if (now < this.reportsIncompleteUntil) {
      this.foreign = Math.max(this.foreign, this.formerOwnerLoad);
    }
  }

  /** Begins a takeover. The load that the former owner last advertised, plus what it may have started since, counts as
   * foreign until reports are certain to include it. A former owner that advertised no load has at most one request in
   * flight, which the slot reserved by the bound covers; holding back more would leave idle upstreams unused for a
   * second after each change of owner.
   * @param advertisedLoad Load that the former owner last advertised.
   * @param now Monotonic time in milliseconds. */
  beginTakeover(advertisedLoad: number, now: number): void {
    if (advertisedLoad <= 0) return;
    this.takeoverEndsAt = now + TAKEOVER_WINDOW_MS;
    this.reportsIncompleteUntil = now + REPORT_CATCH_UP_MS;
    this.formerOwnerLoad = advertisedLoad +
      getMaximumUnadvertised(advertisedLoad);
    this.foreign = Math.max(this.foreign, this.formerOwnerLoad);
  }

  /** Handles a pause of this process, during which another router may have owned the upstream. Until the takeover
   * window ends, all load in reports except resumed requests counts as foreign, since the own load from before the
   * pause may account for none of it.
   * @param now Monotonic time in milliseconds. */
  handlePause(now: number): void {
    this.takeoverEndsAt = now + TAKEOVER_WINDOW_MS;
  }

  /** Counts one foreign request as an own request from now on. */
  recordResumed(): void {
    this.foreign = Math.max(0, this.foreign - 1);
    this.minimumForeign = Math.max(0, this.minimumForeign - 1);
    this.formerOwnerLoad = Math.max(0, this.formerOwnerLoad - 1);
  }

  /** Lower bound of the foreign load. Means are computed from it, because a mean that is too high would loosen the
   * bound. */
  get minimumLoad(): number {
    return this.minimumForeign;
  }

  /** Estimated foreign load. */
  get load(): number {
    return this.foreign;
  }
}

/** Drops samples that were superseded before a time. The last sample before that time is kept, as it was still valid
 * then. */
function dropSamplesBefore(samples: Sample[], since: number): Sample[] {
  const firstRecent = samples.findIndex((sample) => sample.at >= since);
  if (firstRecent < 0) return samples.slice(-1);
  return samples.slice(Math.max(0, firstRecent - 1));
}
