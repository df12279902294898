import type { Random } from "../random/random.ts";
import type { ArrivalRate } from "./arrival_rate.ts";
import { PromptPopularity } from "./prompt_popularity.ts";
import { ResidenceTime } from "./residence_time.ts";
import {
  computeAdmissionProbability,
  computeCompletedFraction,
  computeHeadroom,
  type UpstreamLoad,
} from "./admission_probability.ts";
import { getOrCreateLruEntry } from "./lru_entry.ts";

/** Maximum number of tracked services, and of tracked routes. Bounded because routes come and go with each
 * configuration. */
const MAX_TRACKED_NAMES = 10_000;

/** A request whose prompt is shared with other requests. */
export interface AdmissionRequest {
  /** Name of the service. */
  service: string;
  /** Name of the route; requests of one route have similar durations. */
  route: string;
  /** Whether this host has recently received more than one request for the prompt. */
  isPopular: boolean;
}

/** An upstream that is considered for a request, as seen by this host. */
export interface AdmissionTarget extends UpstreamLoad {
  /** Number of other hosts that may start requests on the upstream. */
  otherHosts: number;
  /** Rate at which this host considers the upstream for popular prompts. */
  popularArrivals: ArrivalRate;
}

/** Decides whether this host may start a request on an upstream. Hosts decide concurrently, without knowing which
 * requests the others are starting, and together have to keep the upstream within its load bound. */
export class AdmissionController {
  private readonly popularity = PromptPopularity.create();
  /** Residence times of requests, by service and by route. */
  private readonly services = new Map<string, ResidenceTime>();
  private readonly routes = new Map<string, ResidenceTime>();

  private constructor(private readonly random: Random) {}

  /** Creates a controller without recorded requests.
   * @param random Random source of the admission decisions. */
  static create(random: Random): AdmissionController {
    return new AdmissionController(random);
  }

  /** Records a request for a prompt and returns whether the prompt was popular before this request.
   * @param part Hash of the deepest prompt part that is shared with other requests.
   * @param now Monotonic milliseconds. */
  recordRequest(part: number, now: number): boolean {
    return this.popularity.recordRequest(part, now);
  }

  /** Records the duration of a completed request.
   * @param service Name of the service.
   * @param route Name of the route.
   * @param durationMs Duration in milliseconds. */
  recordCompletion(service: string, route: string, durationMs: number): void {
    getResidenceTime(this.services, service).recordDuration(durationMs);
    getResidenceTime(this.routes, route).recordDuration(durationMs);
  }

  /** Returns whether a request may be started on an upstream. Assumes that every host considers the upstream for
   * popular prompts as often as this one does. Requests for other prompts are few and are admitted wherever there is
   * headroom.
   * @param request The request.
   * @param target The upstream.
   * @param now Monotonic milliseconds. */
  admits(
    request: AdmissionRequest,
    target: AdmissionTarget,
    now: number,
  ): boolean {
    const { inFlightMeanMs } = getResidenceTime(
      this.services,
      request.service,
    );
    const headroom = computeHeadroom(target, inFlightMeanMs);
    if (!request.isPopular) return headroom >= 0;
    const { popularArrivals, otherHosts, countAgeMs } = target;
    popularArrivals.recordArrival(
      now,
      this.getRunningFraction(request, countAgeMs),
    );
    const startsPerHost = popularArrivals.getRatePerMs(now) * countAgeMs;
    const probability = computeAdmissionProbability(
      headroom,
      otherHosts * startsPerHost,
    );
    return this.random.fraction() < probability;
  }

  /** Returns the fraction of the requests started during a period that are still running at its end. */
  private getRunningFraction(
    request: AdmissionRequest,
    periodMs: number,
  ): number {
    const { meanMs } = getResidenceTime(this.routes, request.route);
    if (meanMs === undefined || periodMs <= 0) return 1;
    return computeCompletedFraction(periodMs, meanMs) * meanMs / periodMs;
  }
}

function getResidenceTime(
  residenceTimes: Map<string, ResidenceTime>,
  name: string,
): ResidenceTime {
  return getOrCreateLruEntry(
    residenceTimes,
    name,
    () => ResidenceTime.create(),
    MAX_TRACKED_NAMES,
  );
}
