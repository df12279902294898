import { getOrCreateLruEntry } from "./lru_entry.ts";

/** Maximum number of tracked routes. Bounded because routes come and go with each configuration. */
const MAX_TRACKED_ROUTES = 2_000;
/** Weight of the latest call in the mean duration, as in the retransmission timer of TCP. */
const MEAN_WEIGHT = 1 / 8;

interface DurationEstimate {
  meanMs: number;
}

/** Estimates how long the calls of each route take, from those that were answered lately. */
export class CallDurations {
  private readonly estimates = new Map<string, DurationEstimate>();

  private constructor() {}

  /** Creates estimates without samples. */
  static create(): CallDurations {
    return new CallDurations();
  }

  /** Records an answered call.
   * @param route Name of its route.
   * @param durationMs Time from its arrival to the end of its response, in milliseconds. */
  record(route: string, durationMs: number): void {
    const estimate = getOrCreateLruEntry(
      this.estimates,
      route,
      () => ({ meanMs: durationMs }),
      MAX_TRACKED_ROUTES,
    );
    estimate.meanMs += MEAN_WEIGHT * (durationMs - estimate.meanMs);
  }

  /** Returns the mean duration of a route's calls, in milliseconds; undefined if none was answered.
   * @param route Name of the route. */
  getMeanMs(route: string): number | undefined {
    return this.estimates.get(route)?.meanMs;
  }
}
