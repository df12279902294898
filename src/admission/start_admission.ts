import type { Random } from "../random/random.ts";
import type { ArrivalRate } from "./arrival_rate.ts";
import { Popularity } from "./popularity.ts";
import { ResidenceTime } from "./residence_time.ts";
import {
  computeEndedPart,
  computeRoom,
  computeStartProbability,
  type UpstreamLoad,
} from "./start_probability.ts";
import { useEntry } from "./use_entry.ts";

/** Services, or routes, whose times are remembered; routes come and go with each configuration. */
const MAX_NAMES = 10_000;

/** A request that shares a prompt with others. */
export interface PromptRequest {
  /** Name of the service. */
  service: string;
  /** Name of the route; its requests take about as long as each other. */
  route: string;
  /** Whether this host was asked for the prompt more than once lately. */
  isPopular: boolean;
}

/** An upstream as a host knows it when it would start a request there. */
export interface StartTarget extends UpstreamLoad {
  /** Other hosts that may start requests there. */
  otherHosts: number;
  /** How often this host has considered it for popular prompts. */
  popularArrivals: ArrivalRate;
}

/** Decides whether this host starts a request on an upstream, so that the upstream stays within its bound although other hosts
 * decide at the same time and nobody knows yet what the others start. */
export class StartAdmission {
  private readonly popularity = Popularity.create();
  /** Times of requests by service, and by route. */
  private readonly services = new Map<string, ResidenceTime>();
  private readonly routes = new Map<string, ResidenceTime>();

  private constructor(private readonly random: Random) {}

  /** Creates one that knows no requests.
   * @param random Source of its decisions. */
  static create(random: Random): StartAdmission {
    return new StartAdmission(random);
  }

  /** Counts a request for a prompt; returns whether the prompt was popular before it.
   * @param part Short name of the deepest part that requests share.
   * @param now Monotonic milliseconds. */
  noteRequest(part: number, now: number): boolean {
    return this.popularity.noteRequest(part, now);
  }

  /** Takes the time that a whole answer took.
   * @param service Name of the service.
   * @param route Name of the route.
   * @param durationMs The time in milliseconds. */
  noteCompleted(service: string, route: string, durationMs: number): void {
    getResidence(this.services, service).note(durationMs);
    getResidence(this.routes, route).note(durationMs);
  }

  /** Decides whether a request may be started on an upstream. Each host is taken to consider the upstream for popular prompts as
   * often as this one. Requests for other prompts are few and are started wherever there is room.
   * @param request The request.
   * @param target The upstream.
   * @param now Monotonic milliseconds. */
  admits(request: PromptRequest, target: StartTarget, now: number): boolean {
    const { heldMeanMs } = getResidence(this.services, request.service);
    const room = computeRoom(target, heldMeanMs);
    if (!request.isPopular) return room >= 0;
    const { popularArrivals, otherHosts, countAgeMs } = target;
    popularArrivals.note(now, this.getRunningPart(request, countAgeMs));
    const perHost = popularArrivals.getPerMs(now) * countAgeMs;
    const probability = computeStartProbability(room, otherHosts * perHost);
    return this.random.fraction() < probability;
  }

  /** Part of the requests started over some time that still run at its end. */
  private getRunningPart(request: PromptRequest, overMs: number): number {
    const { meanMs } = getResidence(this.routes, request.route);
    if (meanMs === undefined || overMs <= 0) return 1;
    return computeEndedPart(overMs, meanMs) * meanMs / overMs;
  }
}

function getResidence(
  residences: Map<string, ResidenceTime>,
  name: string,
): ResidenceTime {
  return useEntry(residences, name, () => ResidenceTime.create(), MAX_NAMES);
}
