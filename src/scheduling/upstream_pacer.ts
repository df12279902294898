import type { FleetSlots } from "../upstreams/fleet_slots.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import {
  type BaselineRoute,
  FirstEventBaseline,
} from "./first_event_baseline.ts";
import {
  PacedService,
  type PacedServiceOptions,
  type PaceTime,
} from "./paced_service.ts";
import type { RecoveryPace } from "./recovery_pace.ts";

/** Reported slowdown from which an answer does not raise the pace. */
const MAX_GROWTH_SLOWDOWN = 2;

/** Dependencies of an {@link UpstreamPacer}. */
export interface UpstreamPacerOptions extends PacedServiceOptions {
  /** Distributes the permitted requests among the hosts. */
  slots: FleetSlots;
}

/** Paces the requests to upstreams that have started or recovered, so that they are neither flooded nor left idle. The
 * permitted requests belong to the first hosts in an upstream's rendezvous order. */
export class UpstreamPacer {
  private readonly services = new Map<string, PacedService>();
  private readonly baseline = FirstEventBaseline.create();

  private constructor(private readonly options: UpstreamPacerOptions) {}

  /** Creates a pacer that knows no upstreams.
   * @param options Its dependencies. */
  static create(options: UpstreamPacerOptions): UpstreamPacer {
    return new UpstreamPacer(options);
  }

  /** Recognizes upstreams that have started or recovered, and adapts the paces to the load.
   * @param service Name of the service.
   * @param upstreams Its upstreams that could get requests, apart from backoffs.
   * @param time The present time. */
  observe(
    service: string,
    upstreams: readonly Upstream[],
    time: PaceTime,
  ): void {
    let paced = this.services.get(service);
    if (paced === undefined) {
      paced = PacedService.create(this.options);
      this.services.set(service, paced);
    }
    paced.observe(upstreams, time);
  }

  /** Leaves out the upstreams whose pace permits no further request of this host, provided that another one has room.
   * Otherwise returns all, since no request is refused because of a pace.
   * @param service Name of the service.
   * @param upstreams The upstreams that may get the request.
   * @param triedIds Ids of those that it was already sent to.
   * @param now Monotonic milliseconds. */
  select(
    service: string,
    upstreams: Upstream[],
    triedIds: ReadonlySet<string>,
    now: number,
  ): Upstream[] {
    const paced = this.services.get(service);
    if (paced === undefined || paced.count === 0) return upstreams;
    const permitted = upstreams.filter((upstream) => {
      const pace = paced.find(upstream);
      return !pace || this.permits(upstream, pace, paced, now);
    });
    return permitted.some((upstream) =>
        !triedIds.has(upstream.id) &&
        this.hasRoom(upstream, now)
      )
      ? permitted
      : upstreams;
  }

  /** Records the time to the first event of a response, or to the end of one that is no stream.
   * @param upstream The upstream.
   * @param route The route of the request.
   * @param elapsedMs Time since the request was sent, in milliseconds.
   * @param now Monotonic milliseconds. */
  recordFirstEvent(
    upstream: Upstream,
    route: BaselineRoute,
    elapsedMs: number,
    now: number,
  ): void {
    const paced = this.services.get(route.service);
    if (!paced?.find(upstream)) return this.baseline.record(route, elapsedMs);
    const { waiting = 0, slowdown = 1 } = upstream.reported ?? {};
    const isBusy = waiting > 0 || slowdown >= MAX_GROWTH_SLOWDOWN;
    const strain = this.baseline.getStrain(route, elapsedMs);
    const answer = { strain, isBusy, sentAt: now - elapsedMs };
    paced.recordAnswer(upstream, answer, now);
  }

  /** Records that an upstream declined or failed a request.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  recordFailure(upstream: Upstream, now: number): void {
    this.services.get(upstream.published.service)?.find(upstream)
      ?.recordFailure(now);
  }

  /** Returns the number of paced upstreams by service. */
  countPaced(): [service: string, count: number][] {
    return [...this.services].map(([service, { count }]) => [service, count]);
  }

  private permits(
    upstream: Upstream,
    pace: RecoveryPace,
    { peerRequests, minLimit }: PacedService,
    now: number,
  ): boolean {
    const { slots, getRequests } = this.options;
    const limit = Math.max(pace.limit, minLimit);
    const maxRequests = Math.min(limit, Math.max(1, Math.ceil(peerRequests)));
    if (getRequests(upstream, now) >= maxRequests) return false;
    const ownSlots = slots.countOwn(`${upstream.id} pace`, limit, now);
    return upstream.ownRequests < ownSlots;
  }

  private hasRoom(upstream: Upstream, now: number): boolean {
    return !upstream.health.isEjected(now) &&
      upstream.availability.hasCapacity(now) &&
      this.options.getRequests(upstream, now) < upstream.published.slots;
  }
}
