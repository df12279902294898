import { getOrCreateLruEntry } from "../admission/lru_entry.ts";
import { DecayingCount } from "./decaying_count.ts";

/** Time after which a second run counts half, in milliseconds. A route whose repeats give way is tried again once its
 * runs no longer count. */
const RUN_HALF_LIFE_MS = 5_000;
/** Maximum number of tracked routes; the least recently used one is evicted. */
const MAX_TRACKED_ROUTES = 2_000;

/** How the recent second runs of a route's requests ended. */
export interface RepeatRecord {
  /** Number of second runs. */
  runs: number;
  /** Number of those that were served. */
  served: number;
}

interface RouteOutcomes {
  runs: DecayingCount;
  served: DecayingCount;
}

/** Tracks how often requests that failed once are served by a second run, by route: some errors follow their request to
 * every upstream. */
export class RepeatOutcomes {
  private readonly routes = new Map<string, RouteOutcomes>();

  private constructor() {}

  /** Creates a record without runs. */
  static create(): RepeatOutcomes {
    return new RepeatOutcomes();
  }

  /** Records the end of a second run.
   * @param route Name of the route.
   * @param wasServed Whether it gave the caller a successful response.
   * @param now Monotonic milliseconds. */
  record(route: string, wasServed: boolean, now: number): void {
    const { runs, served } = getOrCreateLruEntry(
      this.routes,
      route,
      () => ({
        runs: DecayingCount.create(RUN_HALF_LIFE_MS),
        served: DecayingCount.create(RUN_HALF_LIFE_MS),
      }),
      MAX_TRACKED_ROUTES,
    );
    runs.add(now);
    if (wasServed) served.add(now);
  }

  /** Returns how the recent second runs of a route ended.
   * @param route Name of the route.
   * @param now Monotonic milliseconds. */
  get(route: string, now: number): RepeatRecord {
    const outcomes = this.routes.get(route);
    return {
      runs: outcomes?.runs.get(now) ?? 0,
      served: outcomes?.served.get(now) ?? 0,
    };
  }
}
