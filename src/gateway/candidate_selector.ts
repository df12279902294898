import type { UpstreamFilter } from "../forward/call_forwarder_context.ts";
import { hashText } from "../hashing/hasher.ts";
import { createPacer } from "./create_pacer.ts";
import type { Service } from "../published/configuration_schema.ts";
import type { BaselineRoute } from "../scheduling/first_event_baseline.ts";
import type { SchedulingMode } from "../scheduling/scheduling_mode.ts";
import type { UpstreamPacer } from "../scheduling/upstream_pacer.ts";
import { DeclineLimits } from "../upstreams/decline_limits.ts";
import { DeclineRiskLimiter } from "../upstreams/decline_risk_limiter.ts";
import { FleetRateLimiter } from "../upstreams/fleet_rate_limiter.ts";
import {
  FleetSlots,
  type FleetSlotsOptions,
} from "../upstreams/fleet_slots.ts";
import { isOfOrigin } from "../upstreams/is_of_origin.ts";
import type { LoadCounts } from "../upstreams/load_counts.ts";
import { SlotLoans, type SlotLoansOptions } from "../upstreams/slot_loans.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { UpstreamTable } from "../upstreams/upstream_table.ts";

/** Dependencies of a {@link CandidateSelector}. */
export interface CandidateSelectorOptions
  extends FleetSlotsOptions, Omit<SlotLoansOptions, "slots" | "findUpstream"> {
  upstreams: UpstreamTable;
  /** Returns a published service, or undefined if there is none of that name. */
  getService: (name: string) => Service | undefined;
  /** Number of live hosts, including this one. */
  countHosts: () => number;
  loads: LoadCounts;
  /** Upstreams are paced while requests are scheduled by time. */
  mode: SchedulingMode;
}

/** Selects the upstreams of a service that may get a request now: those that a host reaches, without those on which this
 * host has used up its share of what the fleet may send. */
export class CandidateSelector {
  /** How many requests per second the upstreams of a service can decline without failing. */
  readonly declineLimits: DeclineLimits;
  /** The slots of upstreams that hosts lend each other. */
  readonly slotLoans: SlotLoans;
  /** The paces of upstreams that have started or recovered. */
  readonly pacer: UpstreamPacer;
  private readonly warmUp: FleetRateLimiter;
  private readonly declineRisk: DeclineRiskLimiter;

  private constructor(private readonly options: CandidateSelectorOptions) {
    const slots = FleetSlots.create(options);
    this.warmUp = FleetRateLimiter.create(slots);
    this.pacer = createPacer(options, slots);
    this.slotLoans = SlotLoans.create({
      ...options,
      slots,
      findUpstream: (instanceHash) =>
        options.upstreams.findByInstanceHash(instanceHash),
    });
    this.declineRisk = DeclineRiskLimiter.create(slots, this.slotLoans);
    this.declineLimits = DeclineLimits.create((service, limit) =>
      this.logDeclineLimit(service, limit)
    );
  }

  /** Creates a selector.
   * @param options Its dependencies. */
  static create(options: CandidateSelectorOptions): CandidateSelector {
    return new CandidateSelector(options);
  }

  /** Returns the upstreams of a service that may get a request.
   * @param service Name of the service.
   * @param filter The upstreams that the request may be sent to; those already tried are returned as well.
   * @param now Monotonic milliseconds. */
  select(
    service: string,
    { triedIds, origin }: UpstreamFilter,
    now: number,
  ): Upstream[] {
    const usable = this.selectUsable(service, now);
    const admitting = this.selectByDeclines(service, usable, now).filter(
      (upstream) => isOfOrigin(upstream, origin),
    );
    if (!this.isPacing(now)) return admitting;
    this.observePaces(service, now);
    return this.pacer.select(service, admitting, triedIds, now);
  }

  /** Records how fast an upstream answered, while upstreams are paced.
   * @param upstream The upstream.
   * @param route The route of the request.
   * @param elapsedMs Time from the send to the first event, or to the end of a response that is no stream, in
   * milliseconds.
   * @param now Monotonic milliseconds. */
  recordFirstEvent(
    upstream: Upstream,
    route: BaselineRoute,
    elapsedMs: number,
    now: number,
  ): void {
    if (!this.isPacing(now)) return;
    this.pacer.recordFirstEvent(upstream, route, elapsedMs, now);
  }

  /** Borrows a slot of an upstream from another host, if the service limits declined requests and all slots of this host
   * are in use. Resolves with whether a host has lent one; undefined if none was asked.
   * @param service Name of the service.
   * @param filter The upstreams that the request may be sent to.
   * @param now Monotonic milliseconds. */
  borrowSlot(
    service: string,
    { triedIds, origin }: UpstreamFilter,
    now: number,
  ): Promise<boolean> | undefined {
    if (this.declineLimits.getLimit(service, now) === undefined) return;
    const untried = this.selectUsable(service, now).filter((upstream) =>
      !triedIds.has(upstream.id) && isOfOrigin(upstream, origin)
    );
    return untried.length > 0 ? this.slotLoans.borrow(untried) : undefined;
  }

  /** Whether the fleet's requests to all upstreams of a service are limited now.
   * @param service Name of the service.
   * @param now Monotonic milliseconds. */
  isLimited(service: string, now: number): boolean {
    const serving = this.options.upstreams.getServing(service);
    if (serving.length === 0) return false;
    return this.declineLimits.getLimit(service, now) !== undefined ||
      serving.every((upstream) => upstream.isWarmingUp(now));
  }

  /** Records that a request is about to be sent to an upstream.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  recordSend(upstream: Upstream, now: number): void {
    const { service } = upstream.published;
    if (upstream.isWarmingUp(now)) this.warmUp.recordSend(upstream.id, now);
    if (this.declineLimits.getLimit(service, now) === undefined) return;
    this.declineRisk.recordSend(upstream, now);
  }

  /** Cancels what is scheduled. */
  close(): void {
    this.slotLoans.close();
  }

  /** Returns the reachable upstreams of a service without those on which this host has used up its share of the
   * connections or of the requests during a warm-up. */
  private selectUsable(service: string, now: number): Upstream[] {
    const published = this.options.getService(service);
    const { warmUpRequestsPerSecond, maxConnections } = published ?? {};
    const share = maxConnections === undefined
      ? Infinity
      : Math.max(1, maxConnections / this.options.countHosts());
    return this.options.upstreams.getServing(service).filter((upstream) =>
      !upstream.path.isUnreachable && upstream.ownRequests < share &&
      this.permitsWarmUp(upstream, warmUpRequestsPerSecond, now)
    );
  }

  private observePaces(service: string, now: number): void {
    const reachable = this.options.upstreams.getEligible(service).filter(
      ({ path }) => !path.isUnreachable,
    );
    this.pacer.observe(service, reachable, { now, unixNow: Date.now() });
  }

  private isPacing(now: number): boolean {
    return this.options.mode.getBasis(now) === "time";
  }

  /** Returns the upstreams that the limit of declined requests, if the service states one, leaves. */
  private selectByDeclines(
    service: string,
    upstreams: Upstream[],
    now: number,
  ): Upstream[] {
    const limit = this.declineLimits.getLimit(service, now);
    if (limit === undefined) return upstreams;
    return this.declineRisk.selectAdmitting(upstreams, limit, now);
  }

  /** Whether the limit of requests during a warm-up permits a request to an upstream. */
  private permitsWarmUp(
    upstream: Upstream,
    requestsPerSecond: number | undefined,
    now: number,
  ): boolean {
    if (requestsPerSecond === undefined) return true;
    return !upstream.isWarmingUp(now) ||
      this.warmUp.admits(upstream.id, requestsPerSecond, now);
  }

  private logDeclineLimit(serviceHash: number, limit: number): void {
    const services = [...this.options.upstreams.getAll()].map((upstream) =>
      upstream.published.service
    );
    const service = services.find((name) => hashText(name) === serviceHash);
    this.options.logger.warn({ service, limit }, "decline_limit_changed");
  }
}
