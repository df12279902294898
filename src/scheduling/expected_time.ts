import { getOrCreateLruEntry } from "../admission/lru_entry.ts";
import { ResidenceTime } from "../admission/residence_time.ts";
import { InstanceSpeed } from "./instance_speed.ts";
import type { RequestWork } from "./request_work.ts";
import { RouteTimes, type StreamRemainder } from "./route_times.ts";
import type { TimeEstimate } from "./time_estimate.ts";
import type { UpstreamObservation } from "./upstream_observation.ts";

/** Maximum numbers of tracked routes, services and upstream instances. */
const MAX_ROUTES = 2_000;
const MAX_SERVICES = 500;
const MAX_INSTANCES = 2_000;
/** Age up to which the load that an upstream reported is used, in milliseconds. */
const MAX_REPORT_AGE_MS = 400;
/** Variance of the logarithm of observed speeds that is assumed before the first one. */
const INITIAL_NOISE_VARIANCE = 0.25;
/** Weight of the latest observation in the learned variance. */
const NOISE_WEIGHT = 0.02;

/** What is learned of a service's upstreams together. */
interface ServiceTimes {
  residence: ResidenceTime;
  /** Variance of the logarithm of single observations of a speed. */
  noiseVariance: number;
  /** Prefill time of a token in milliseconds, from the route that tells it best, and the variance of that figure. */
  prefill: { msPerToken: number; variance: number };
}

/** What the estimate of a request that was sent is based on. */
export interface EstimateBasis {
  work: RequestWork;
  observation: UpstreamObservation;
}

/** Learns how long requests take at each upstream from the responses, and estimates it for further requests. */
export class ExpectedTimes {
  private readonly routes = new Map<string, RouteTimes>();
  private readonly services = new Map<string, ServiceTimes>();
  private readonly instances = new Map<number, InstanceSpeed>();

  /** What is assumed of services and routes without responses. */
  private readonly unknownService = createServiceTimes();
  private readonly unknownRoute = RouteTimes.create();

  private constructor() {}

  /** Creates estimates without responses. */
  static create(): ExpectedTimes {
    return new ExpectedTimes();
  }

  /** Numbers of tracked routes, services and upstream instances. */
  get sizes(): { routes: number; services: number; instances: number } {
    const { routes, services, instances } = this;
    return {
      routes: routes.size,
      services: services.size,
      instances: instances.size,
    };
  }

  /** Estimates the times of one more request at an upstream.
   * @param work The request.
   * @param observation What is known of the upstream. */
  estimate(work: RequestWork, observation: UpstreamObservation): TimeEstimate {
    const service = this.services.get(work.service) ?? this.unknownService;
    const route = this.routes.get(work.route) ?? this.unknownRoute;
    const load = getLoad(observation);
    const factor = this.getTimeFactor(service, observation);
    const waitMs = estimateWaitMs(service, observation) * factor;
    const firstEventMs = waitMs + route.getFirstEventMs(work, load) * factor;
    return {
      waitMs,
      firstEventMs,
      totalMs: firstEventMs + route.getRemainderMs(load) * factor,
      errorMs: route.errorMs,
    };
  }

  /** Returns the prefill time of a token at the engines of a service, in milliseconds; undefined if none is learned.
   * @param service Name of the service. */
  getPrefillMsPerToken(service: string): number | undefined {
    const prefill = this.services.get(service)?.prefill;
    return prefill && Number.isFinite(prefill.variance)
      ? prefill.msPerToken
      : undefined;
  }

  /** Records the time to the first event of a response, or to a response that is no stream.
   * @param basis What its estimate is based on.
   * @param estimate The estimate.
   * @param durationMs The time since the request was sent, in milliseconds.
   * @param slowdown Slowdown that the upstream reported with the response; undefined if it reported none. */
  recordFirstEvent(
    { work, observation }: EstimateBasis,
    estimate: TimeEstimate,
    durationMs: number,
    slowdown: number | undefined,
  ): void {
    const service = this.getService(work.service);
    const route = this.getRoute(work.route);
    const speed = this.getInstance(observation.instanceHash);
    route.recordError(durationMs - estimate.firstEventMs);
    const slowdownRatio = slowdown === undefined
      ? 1
      : speed.getSlowdownRatio(slowdown, 0);
    if (slowdown !== undefined) speed.recordSlowdown(slowdown);
    const load = getLoad(observation);
    const factor = speed.getTimeFactor(service.noiseVariance) * slowdownRatio;
    const workMs = Math.max(
      0,
      durationMs / factor - estimateWaitMs(service, observation),
    );
    const usualMs = route.getFirstEventMs(work, load);
    route.recordFirstEvent(work, load, workMs);
    if (work.isStream) return this.updatePrefill(service, route, work);
    recordSpeed(service, speed, workMs * factor / slowdownRatio, usualMs);
  }

  /** Records the end of a response.
   * @param basis What its estimate is based on.
   * @param totalMs Time from the request to the end, in milliseconds.
   * @param remainder What followed the first event of a stream; undefined for any other response. */
  recordEnd(
    { work, observation }: EstimateBasis,
    totalMs: number,
    remainder: StreamRemainder | undefined,
  ): void {
    const service = this.getService(work.service);
    service.residence.recordDuration(totalMs);
    if (!remainder) return;
    const speed = this.getInstance(observation.instanceHash);
    const usualMs = this.getRoute(work.route).recordRemainder(
      remainder,
      getLoad(observation),
      speed.getTimeFactor(service.noiseVariance),
    );
    if (usualMs === undefined) return;
    recordSpeed(service, speed, remainder.durationMs, usualMs);
  }

  private getTimeFactor(
    service: ServiceTimes,
    { instanceHash, report }: UpstreamObservation,
  ): number {
    const speed = this.instances.get(instanceHash);
    if (!speed) return 1;
    const factor = speed.getTimeFactor(service.noiseVariance);
    return report?.slowdown === undefined
      ? factor
      : factor * speed.getSlowdownRatio(report.slowdown, report.ageMs);
  }

  private updatePrefill(
    service: ServiceTimes,
    route: RouteTimes,
    { prefillTokens }: RequestWork,
  ): void {
    if (prefillTokens === 0) return;
    const { prefill } = route;
    if (prefill.variance <= service.prefill.variance) service.prefill = prefill;
  }

  private getRoute(name: string): RouteTimes {
    return getOrCreateLruEntry(
      this.routes,
      name,
      () => RouteTimes.create(),
      MAX_ROUTES,
    );
  }

  private getService(name: string): ServiceTimes {
    return getOrCreateLruEntry(
      this.services,
      name,
      createServiceTimes,
      MAX_SERVICES,
    );
  }

  private getInstance(instanceHash: number): InstanceSpeed {
    return getOrCreateLruEntry(
      this.instances,
      instanceHash,
      () => InstanceSpeed.create(),
      MAX_INSTANCES,
    );
  }
}

function createServiceTimes(): ServiceTimes {
  return {
    residence: ResidenceTime.create(),
    noiseVariance: INITIAL_NOISE_VARIANCE,
    prefill: { msPerToken: 0, variance: Infinity },
  };
}

function recordSpeed(
  service: ServiceTimes,
  speed: InstanceSpeed,
  observedMs: number,
  usualMs: number,
): void {
  const logRatio = speed.record(observedMs, usualMs);
  service.noiseVariance += NOISE_WEIGHT *
    (logRatio ** 2 - service.noiseVariance);
}

/** Returns the requests on an upstream, from the hosts' counts or from a recent report of the upstream if that tells of
 * more. */
function getRequests(
  { ownRequests, foreignRequests, report }: UpstreamObservation,
): number {
  const counted = ownRequests + foreignRequests;
  return report && report.ageMs <= MAX_REPORT_AGE_MS
    ? Math.max(counted, report.running + report.waiting)
    : counted;
}

function getLoad(observation: UpstreamObservation): number {
  return Math.min(1, getRequests(observation) / observation.slots);
}

/** Estimates the time until an upstream of usual speed has a free slot and has prefilled the prompts before this one. */
function estimateWaitMs(
  { residence }: ServiceTimes,
  observation: UpstreamObservation,
): number {
  const { slots, prefillBacklogMs } = observation;
  const queued = Math.max(0, getRequests(observation) + 1 - slots);
  return queued / slots * (residence.meanMs ?? 0) + prefillBacklogMs;
}
