import { ResidenceTime } from "../admission/residence_time.ts";
import type { TimeEstimate } from "./time_estimate.ts";

/** Number of requests of a service, or of a route, after which their times are used. */
const MIN_SAMPLES = 2;
/** Weight of the latest error in the mean error. */
const ERROR_WEIGHT = 1 / 8;
/** Maximum number of routes of a service whose times are tracked. */
const MAX_ROUTES = 500;

/** The load of an upstream, as far as the time of one more request depends on it. */
export interface WorkLoad {
  /** Requests on the upstream without the one to be added. */
  requests: number;
  /** Requests that the upstream runs at a time. */
  slots: number;
}

/** Times of completed requests, and their number. */
interface RecordedTimes {
  times: ResidenceTime;
  samples: number;
}

/** Estimates the times of requests to one service whose upstreams serve in order of arrival, from the number of requests
 * on an upstream and the durations of completed ones. */
export class WorkTimes {
  private readonly all = createTimes();
  private readonly routes = new Map<string, RecordedTimes>();
  private errorMs = 0;

  private constructor() {}

  /** Creates estimates without samples. */
  static create(): WorkTimes {
    return new WorkTimes();
  }

  /** Records a completed request.
   * @param route Name of its route.
   * @param durationMs Time since it was sent, in milliseconds.
   * @param load Load of the upstream when it was sent. */
  record(route: string, durationMs: number, load: WorkLoad): void {
    const expected = this.estimate(route, load);
    if (expected) {
      const error = Math.abs(durationMs - expected.totalMs);
      this.errorMs += ERROR_WEIGHT * (error - this.errorMs);
    }
    const workMs = durationMs / (1 + countAhead(load));
    addSample(this.all, workMs);
    let times = this.routes.get(route);
    if (!times) {
      if (this.routes.size >= MAX_ROUTES) return;
      times = createTimes();
      this.routes.set(route, times);
    }
    addSample(times, workMs);
  }

  /** Returns the expected times of one more request; undefined if too few of its route have completed.
   * @param route Name of its route.
   * @param load Load of the upstream. */
  estimate(route: string, load: WorkLoad): TimeEstimate | undefined {
    const meanMs = getMeanMs(this.all);
    const workMs = getMeanMs(this.routes.get(route));
    if (meanMs === undefined || workMs === undefined) return undefined;
    const waitMs = countAhead(load) * meanMs;
    const totalMs = waitMs + workMs;
    return { waitMs, firstEventMs: totalMs, totalMs, errorMs: this.errorMs };
  }
}

/** Returns the requests that must end before one more starts, relative to the slots. */
function countAhead({ requests, slots }: WorkLoad): number {
  return Math.max(0, requests + 1 - slots) / slots;
}

function createTimes(): RecordedTimes {
  return { times: ResidenceTime.create(), samples: 0 };
}

function addSample(recorded: RecordedTimes, workMs: number): void {
  recorded.samples += 1;
  recorded.times.recordDuration(workMs);
}

function getMeanMs(recorded: RecordedTimes | undefined): number | undefined {
  const isKnown = recorded !== undefined && recorded.samples >= MIN_SAMPLES;
  return isKnown ? recorded.times.meanMs : undefined;
}
