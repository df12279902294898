import { ResidenceTime } from "../admission/residence_time.ts";

/** Fraction of a route's objective within which a first event is in time, whatever is usual: the rest covers the way to
 * the caller and a second attempt. */
const TOLERATED_OBJECTIVE_FRACTION = 0.5;
/** Multiple of the usual time up to which a first event is as fast as usual. */
const USUAL_SPREAD = 1.5;

/** What identifies the requests that are compared with each other. */
export interface BaselineRoute {
  service: string;
  route: string;
  /** Latency objective in milliseconds. */
  objectiveMs: number;
}

/** The usual time to the first event by route, according to the responses of upstreams that are not paced. */
export class FirstEventBaseline {
  private readonly byRoute = new Map<string, ResidenceTime>();

  private constructor() {}

  /** Creates a baseline without samples. */
  static create(): FirstEventBaseline {
    return new FirstEventBaseline();
  }

  /** Records the time to a first event.
   * @param route The route of the request.
   * @param elapsedMs Time since the request was sent, in milliseconds. */
  record(route: BaselineRoute, elapsedMs: number): void {
    const key = getKey(route);
    let times = this.byRoute.get(key);
    if (times === undefined) {
      times = ResidenceTime.create();
      this.byRoute.set(key, times);
    }
    times.recordDuration(elapsedMs);
  }

  /** Returns the time to a first event relative to the longest one that is neither unusual nor late for the caller; above
   * 1 if the upstream is under strain.
   * @param route The route of the request.
   * @param elapsedMs Time since the request was sent, in milliseconds. */
  getStrain(route: BaselineRoute, elapsedMs: number): number {
    const usualMs = this.byRoute.get(getKey(route))?.meanMs ?? 0;
    const toleratedMs = Math.max(
      USUAL_SPREAD * usualMs,
      TOLERATED_OBJECTIVE_FRACTION * route.objectiveMs,
    );
    return elapsedMs / toleratedMs;
  }
}

function getKey({ service, route }: BaselineRoute): string {
  return `${service} ${route}`;
}
