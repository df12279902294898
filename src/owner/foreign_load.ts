/** Time over which the own load is remembered: the lag of reports and their interval. */
const WINDOW_MS = 2_000;

interface Sample {
  at: number;
  own: number;
}

/** Works out what an upstream carries for other routers, from its lagging report.
 * What the report shows beyond the most that this router had running during the lag is foreign. */
export class ForeignLoad {
  private samples: Sample[] = [];
  private foreign = 0;
  private reportedAt: number | undefined;

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
   * @param now Monotonic milliseconds. */
  recordReport(inFlight: number, now: number): void {
    this.samples = dropOld(this.samples, now - WINDOW_MS);
    const most = this.samples.reduce(
      (maximum, sample) => Math.max(maximum, sample.own),
      0,
    );
    this.foreign = Math.max(0, inFlight - most);
    this.reportedAt = now;
  }

  /** Requests that other routers are taken to have running. */
  get load(): number {
    return this.foreign;
  }

  /** Whether any report was read yet. */
  get isKnown(): boolean {
    return this.reportedAt !== undefined;
  }
}

/** Drops samples that ended before a time; the last one before it still held at that time and stays. */
function dropOld(samples: Sample[], since: number): Sample[] {
  const firstInside = samples.findIndex((sample) => sample.at >= since);
  if (firstInside < 0) return samples.slice(-1);
  return samples.slice(Math.max(0, firstInside - 1));
}
