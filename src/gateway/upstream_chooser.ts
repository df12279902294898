import { AdmissionController } from "../admission/admission_controller.ts";
import { readSteadyClock } from "../clock/clock.ts";
import { processTimeline, type Timeline } from "../clock/timeline.ts";
import type {
  UpstreamAccess,
  UpstreamFilter,
} from "../forward/call_forwarder_context.ts";
import { mayRunAgain, type RoutedCall } from "../forward/routed_call.ts";
import { ConnectionLiveness } from "../paths/connection_liveness.ts";
import { Random } from "../random/random.ts";
import type { BaselineRoute } from "../scheduling/first_event_baseline.ts";
import { SchedulingMode } from "../scheduling/scheduling_mode.ts";
import {
  chooseUpstream,
  type UpstreamChoice,
} from "../upstreams/choose_upstream.ts";
import type { StreamOrigin } from "../streams/stream_record.ts";
import { isSharingWorthwhile } from "../upstreams/is_sharing_worthwhile.ts";
import { LoadCounts } from "../upstreams/load_counts.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import {
  type HashedPromptPart,
  PrefixIndex,
} from "../upstreams/prefix_index.ts";
import type { RetryDecision } from "../upstreams/retry_decision.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { HealthSignal } from "../upstreams/upstream_health.ts";
import { trustsIdleConnections } from "../upstreams/trusts_idle_connections.ts";
import { UpstreamTable } from "../upstreams/upstream_table.ts";
import { AdmissionLog } from "./admission_log.ts";
import { CallAdmissions } from "./call_admissions.ts";
import { PlacementTimes } from "./placement_times.ts";
import { PromptPlacer } from "./prompt_placer.ts";
import { CandidateSelector } from "./candidate_selector.ts";
import { ReportedOutages } from "./reported_outages.ts";
import { measureServiceLoad } from "./measure_service_load.ts";
import { RepeatControl } from "./repeat_control.ts";
import { RetryBudgets } from "./retry_budgets.ts";
import type { UpstreamChooserOptions } from "./upstream_chooser_options.ts";

/** Maximum jitter that is added to the retry time of refused callers after a backoff. It is the time that a recovering
 * upstream takes for its first requests, whose number starts at one and doubles each time. */
const RETRY_AFTER_JITTER_MS = 250;

/** Minimum and maximum retry time of callers that are refused because this host has used up its share of the requests
 * to upstreams that bear few, in milliseconds. Short, since another host may have some left. */
const LIMITED_RETRY_MS = [50, 300] as const;

/** Returns what identifies the requests with which a call's first event is compared. */
function toBaselineRoute({ service, route }: RoutedCall): BaselineRoute {
  return { service, route: route.name, objectiveMs: route.objectiveMs };
}

/** Health signals that lower the pace of an upstream that has started or recovered. */
const PACE_FAILURES: ReadonlySet<HealthSignal> = new Set([
  "error_answer",
  "broken",
  "silent",
  "unreachable",
]);

/** Chooses upstreams, from their loads, the prompt prefixes that they have cached and the remaining retry budgets. */
export class UpstreamChooser {
  /** The known upstreams. */
  readonly upstreams: UpstreamTable;
  /** Numbers of requests on each upstream. */
  readonly loads = LoadCounts.create();
  /** Whether requests are scheduled by time or by count. */
  readonly mode = SchedulingMode.create();
  /** The upstreams that may get a request now. */
  readonly candidates: CandidateSelector;
  /** Upstreams to which other hosts could not connect. */
  readonly reportedOutages: ReportedOutages;
  /** How much room the services have, and whether repeats give way for lack of it. */
  readonly repeats: RepeatControl;
  /** Which engines have which prompt parts cached. */
  readonly prefixes = PrefixIndex.create();
  private readonly liveness = ConnectionLiveness.create();
  private readonly readNow: () => number;
  private readonly random: Random;
  private readonly admission: AdmissionController;
  private readonly callAdmissions: CallAdmissions;
  private readonly placementTimes: PlacementTimes;
  private readonly promptPlacer: PromptPlacer;
  private readonly retryBudgets: RetryBudgets;

  private constructor(private readonly options: UpstreamChooserOptions) {
    const timeline = options.timeline ?? processTimeline;
    this.readNow = () => timeline.read();
    this.random = options.random ?? Random.create();
    this.admission = AdmissionController.create(this.random);
    this.callAdmissions = this.createCallAdmissions(timeline);
    this.placementTimes = PlacementTimes.create({
      prefixes: this.prefixes,
      canFetch: (service) => options.getService(service)?.canFetch ?? false,
      onEstimateError: options.onEstimateError,
    });
    this.promptPlacer = PromptPlacer.create({
      prefixes: this.prefixes,
      getFetchSources: (service, now) => this.getFetchSources(service, now),
      usesDirectory: options.usesDirectory,
      sharesPlacement: (sharedParts) => this.sharesPlacement(sharedParts),
      onPrefixUpdates: options.onPrefixUpdates,
      readNow: this.readNow,
    });
    this.retryBudgets = RetryBudgets.create({
      getSettings: options.getSettings,
      getFleetSize: options.getFleetSize,
      getRetainedFraction: options.getRetainedFraction,
      random: this.random,
      readNow: options.timeline ? this.readNow : readSteadyClock,
    });
    this.upstreams = UpstreamTable.create({
      logger: options.logger,
      getLapseEndsAt: options.getLapseEndsAt,
      leaveTimeoutMs: options.getSettings().leaveWithinMs,
      getCompleteUntil: options.getCompleteUntil,
      onRestart: options.onRestart,
      onAvailabilityChange: options.onAvailabilityChange,
      onRemove: options.onRemove,
      network: options.network,
    });
    this.candidates = CandidateSelector.create({
      logger: options.logger,
      upstreams: this.upstreams,
      hostId: options.hostId,
      getOtherHostIds: options.getKnownHostIds,
      knowsFleet: options.knowsFleet,
      ownAddress: options.gossipAddress,
      getAddress: options.getGossipAddress,
      send: options.sendSlotMessage,
      timeline,
      random: this.random,
      getService: options.getService,
      countHosts: options.countHosts,
      loads: this.loads,
      mode: this.mode,
    });
    this.reportedOutages = ReportedOutages.create({
      logger: options.logger,
      findUpstream: (instanceHash) =>
        this.upstreams.findByInstanceHash(instanceHash),
      checkPath: (upstream) => this.checkPath(upstream),
      onDisproved: options.onOutageDisproved,
      onEjected: (upstream) => this.leaveLost(upstream),
      timeline,
    });
    this.repeats = RepeatControl.create({
      logger: options.logger,
      mode: this.mode,
      measureLoad: (service, now) =>
        measureServiceLoad(
          this.upstreams.getServing(service),
          this.loads,
          now,
        ),
      onDecision: options.onRepeatDecision,
      onRoomChange: options.onRoomChange,
      readNow: this.readNow,
    });
  }

  /** Creates a chooser that knows no upstreams.
   * @param options Its dependencies and callbacks. */
  static create(options: UpstreamChooserOptions): UpstreamChooser {
    return new UpstreamChooser(options);
  }

  /** Creates the access to upstreams that call forwarders use. */
  createAccess(): UpstreamAccess {
    return {
      choose: (call, filter) => {
        const choice = this.choose(call, filter);
        if (choice) this.callAdmissions.recordChoice(call, choice);
        return choice;
      },
      admit: (call, choice, pick) =>
        this.callAdmissions.admit(call, choice, pick),
      borrowSlot: ({ service }, filter) =>
        this.candidates.borrowSlot(service, filter, this.readNow()),
      isUnreachable: (service) =>
        this.upstreams.getServing(service).every(({ path }) =>
          path.isUnreachable
        ),
      getRetryAfterMs: (service, origin) =>
        this.getRetryAfterMs(service, origin),
      canContinue: (origin) => this.upstreams.canContinue(origin),
      placePrompt: (call, target) => this.promptPlacer.place(call, target),
      isPublicationUsable: this.options.isPublicationUsable,
      maySendTo: (upstream, continuesStream) =>
        this.options.isPublicationUsable() &&
        this.upstreams.maySendTo(upstream, continuesStream),
      getPublicationAgeMs: () =>
        this.readNow() - this.options.getCompleteUntil(),
      recordSend: (choice) => this.recordSend(choice),
      recordCompletion: (call, durationMs) => {
        const { service, route } = call;
        this.admission.recordCompletion(service, route.name, durationMs);
        this.repeats.recordCompletion(route.name, durationMs);
        this.callAdmissions.recordCompletion(call, durationMs);
      },
      repeats: this.repeats,
      recordFirstEvent: (call, choice, durationMs) =>
        this.recordFirstEvent(call, choice, durationMs),
      recordEnd: (choice, durationMs, remainder) =>
        this.placementTimes.recordEnd(choice, durationMs, remainder),
      spendRetry: (service) => this.spendRetry(service),
      recordHealth: (upstream, signal) =>
        this.recordHealthSignal(upstream, signal),
      checkPath: (upstream) => this.checkPath(upstream),
      isRunning: this.options.isRunning ?? (() => Promise.resolve(true)),
      recordSlowdown: (slowdown) =>
        this.mode.recordSlowdown(slowdown, this.readNow()),
      recordConnectionResponse: (establishedAt) =>
        this.liveness.recordResponse(establishedAt, this.readNow()),
      trustsIdleConnections: ({ lastReceivedAt }) =>
        this.trustsIdleConnections(lastReceivedAt),
      recordDeclineLimit: ({ published: { service } }, limit) =>
        this.candidates.declineLimits.record(service, limit, this.readNow()),
      recordDecline: (upstream) =>
        this.candidates.pacer.recordFailure(upstream, this.readNow()),
      recordMoved: (upstream) => this.upstreams.remove(upstream),
    };
  }

  /** Returns the engines of the services whose engines can fetch cached prompt parts from each other, except those that
   * are being evacuated. */
  getFetchCapableEngines(): Upstream[] {
    return [...this.upstreams.getAll()].filter((upstream) =>
      !upstream.isEvacuated &&
      this.options.getService(upstream.published.service)?.canFetch
    );
  }

  /** Whether other hosts are asked and told where a prompt is cached. In a large fleet scheduled by time, they are not
   * for prompts that are quickly read again.
   * @param sharedParts Its parts that other requests may share. */
  sharesPlacement(sharedParts: readonly HashedPromptPart[]): boolean {
    const isByTime = this.mode.getBasis(this.readNow()) === "time";
    return !(isByTime && this.options.usesDirectory()) ||
      isSharingWorthwhile(sharedParts);
  }

  /** Records a request, which adds to the retry budget of its service.
   * @param service Name of the service. */
  recordRequest(service: string): void {
    this.retryBudgets.recordRequest(service);
  }

  /** Marks an instance of an upstream as crashed: it gets no requests for a while, and others fetch nothing that it had
   * cached.
   * @param instanceHash Hash of the instance. */
  markCrashed(instanceHash: number): void {
    const upstream = this.upstreams.findByInstanceHash(instanceHash);
    if (!upstream) return;
    upstream.crashedAt = this.readNow();
    this.recordHealthSignal(upstream, "unreachable");
  }

  /** Clears the faults of an upstream that other hosts reach, since this host's own path was at fault.
   * @param instanceHash Hash of the instance. */
  clearFaults(instanceHash: number): void {
    this.upstreams.findByInstanceHash(instanceHash)?.health.clearFaults();
  }

  /** Closes the idle connections to an upstream that can no longer be expected to be alive.
   * @param instanceHash Hash of the instance. */
  closeUntrustedConnections(instanceHash: number): void {
    this.upstreams.findByInstanceHash(instanceHash)?.connections
      .closeUntrusted();
  }

  /** Closes the connections to all upstreams, and cancels what is scheduled. */
  close(): void {
    this.callAdmissions.close();
    this.candidates.close();
    this.upstreams.close();
  }

  private trustsIdleConnections(lastReceivedAt: number): boolean {
    return trustsIdleConnections({
      lastReceivedAt,
      liveness: this.liveness,
      isLargeFleet: this.options.usesDirectory(),
      now: this.readNow(),
    });
  }

  private leaveLost(upstream: Upstream): void {
    if (this.mode.getBasis(this.readNow()) !== "time") return;
    this.options.onLost(upstream);
  }

  private createCallAdmissions(timeline: Timeline): CallAdmissions {
    return CallAdmissions.create({
      timeline,
      random: this.random,
      log: AdmissionLog.create({
        logger: this.options.logger,
        metrics: this.options.admissionMetrics,
        getCountAgeMs: () => this.loads.getCountAges(this.readNow()).countAgeMs,
      }),
      isInForce: () => this.mode.getBasis(this.readNow()) === "time",
      getLoad: ({ upstream }) => ({
        requests: this.loads.getTotalRequests(upstream, this.readNow()),
        slots: upstream.published.slots,
      }),
    });
  }

  private spendRetry(service: string): RetryDecision {
    const decision = this.retryBudgets.tryAcquire(service);
    this.options.onRetryDecision(service, decision);
    return decision;
  }

  private async checkPath(upstream: Upstream): Promise<boolean> {
    return await this.options.checkPath?.(upstream) ?? false;
  }

  /** Chooses an upstream for a call; returns undefined if none is left.
   * @param call The call.
   * @param filter The upstreams to choose from. */
  private choose(
    call: RoutedCall,
    { triedIds, origin }: UpstreamFilter,
  ): UpstreamChoice | undefined {
    const { boundMultiple, hall } = this.options.getSettings();
    const now = this.readNow();
    if (!this.options.isPublicationUsable()) return undefined;
    return chooseUpstream({
      candidates: this.selectCandidates(
        call.service,
        { triedIds, origin },
        now,
      ),
      reachable: this.getReachable(call.service, now),
      boundMultiple,
      service: call.service,
      route: call.route.name,
      triedIds,
      avoidsSuspects: !mayRunAgain(call),
      sharedParts: call.sharedParts,
      prefixes: this.prefixes,
      loads: this.loads,
      admission: this.admission,
      hall,
      timing: this.isPlacedByTime(call, now)
        ? this.placementTimes.createTiming(call, now)
        : undefined,
      random: this.random,
      now,
    });
  }

  /** Whether a call is placed by expected time. Calls with a shared prompt are placed by count, which keeps prompts where
   * they are cached. */
  private isPlacedByTime({ sharedParts }: RoutedCall, now: number): boolean {
    return sharedParts.length === 0 && this.mode.getBasis(now) === "time";
  }

  private recordFirstEvent(
    call: RoutedCall,
    choice: UpstreamChoice,
    durationMs: number,
  ): void {
    this.candidates.recordFirstEvent(
      choice.upstream,
      toBaselineRoute(call),
      durationMs,
      this.readNow(),
    );
    this.placementTimes.recordFirstEvent(choice, durationMs);
  }

  /** Returns the upstreams that may get a request. One that continues a stream may go to a leaving upstream if there is
   * no other of its version. */
  private selectCandidates(
    service: string,
    filter: UpstreamFilter,
    now: number,
  ): Upstream[] {
    const candidates = this.candidates.select(service, filter, now);
    const { origin } = filter;
    return origin && candidates.length === 0
      ? this.upstreams.getLeaving(origin)
      : candidates;
  }

  /** Returns the reachable upstreams of a service, whether or not they accept new requests. */
  private getReachable(service: string, now: number): Upstream[] {
    return this.upstreams.getPresent(service).filter((upstream) =>
      upstream.isReachable(now)
    );
  }

  /** Returns the milliseconds after which a refused caller may retry; undefined if nothing is known about it. If all
   * upstreams requested a backoff, it is the end of the first backoff plus jitter, because the first requests after it
   * show whether the upstream has capacity.
   * @param service Name of the service.
   * @param origin Where the stream began that the request continues; undefined if it continues none. */
  private getRetryAfterMs(
    service: string,
    origin: StreamOrigin | undefined,
  ): number | undefined {
    const backoffMs = this.upstreams.getBackoffMs(service, origin);
    if (backoffMs !== undefined) {
      return backoffMs + this.random.integer(0, RETRY_AFTER_JITTER_MS);
    }
    return this.candidates.isLimited(service, this.readNow())
      ? this.random.integer(...LIMITED_RETRY_MS)
      : undefined;
  }

  /** Returns the engines of a service from which others can fetch cached prompt parts. */
  private getFetchSources(service: string, now: number): Upstream[] {
    if (!this.options.getService(service)?.canFetch) return [];
    return this.getReachable(service, now).filter((engine) =>
      !engine.isEvacuated
    );
  }

  private recordSend(choice: UpstreamChoice): LoadSnapshot {
    const now = this.readNow();
    const load = this.loads.getSnapshot(choice.upstream, now);
    this.candidates.recordSend(choice.upstream, now);
    this.options.onSend(choice, load);
    return load;
  }

  /** Records the health signal of an attempt, and ejects the upstream if its health requires it.
   * @param upstream The upstream.
   * @param signal The health signal. */
  private recordHealthSignal(upstream: Upstream, signal: HealthSignal): void {
    this.options.onHealthSignal(signal);
    const now = this.readNow();
    if (PACE_FAILURES.has(signal)) {
      this.candidates.pacer.recordFailure(upstream, now);
    }
    const ejectedMs = upstream.health.recordSignal(signal, now);
    if (ejectedMs === 0) return;
    this.options.logger.warn(
      { upstream: upstream.id, sign: signal, ejectedMs },
      "upstream_ejected",
    );
  }
}
