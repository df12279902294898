import { readClock } from "../clock/clock.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { RequestHold } from "../crashes/request_hold.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { LoadTable } from "../owner/load_table.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import { POLICIES } from "../placement/policies.ts";
import { Random } from "../random/random.ts";
import type { Settings } from "../settings/settings_schema.ts";
import type { DrainAdmission } from "./drain_admission.ts";
import type { ResponseSink } from "./response_sink.ts";
import { Attempt, type AttemptOutcome } from "./attempt.ts";
import { AttemptFollowUp } from "./attempt_follow_up.ts";
import { findPaceRatio } from "./find_pace_ratio.ts";
import { recordAttempt } from "./record_attempt.ts";
import {
  buildOffer,
  createProgress,
  type DispatchProgress,
  type DispatchResult,
  mayContinueAt,
  recordRedirect,
  refuse,
  toTrackedRequest,
} from "./dispatch_progress.ts";
import {
  type Declines,
  refuseAfterLastUpstream,
} from "./refuse_after_last_upstream.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Maximum number of owner routers that are tried for one upstream before the next upstream is tried. */
const MAX_OWNERS_PER_UPSTREAM = 3;

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  settings: Settings;
  logger: Logger;
  connectionPool: PeerConnectionPool;
  loads: LoadTable;
  crashGuard: CrashGuard;
  drain: Pick<DrainAdmission, "endSignal" | "retryAfterMs" | "recordCut">;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Called with the id of a router that did not respond. */
  onUnreachable: (routerId: string) => void;
}

/** Dispatches requests to upstreams.
 * Candidates are tried in the order given by the placement key, each through the router that owns it. */
export class Dispatcher {
  private readonly retryBudget: RetryBudget;
  private readonly random = Random.create();
  /** Requests that are under way. */
  private readonly dispatches = new Set<DispatchProgress>();
  private readonly followUp: AttemptFollowUp;

  private constructor(private readonly options: DispatcherOptions) {
    const { crashGuard, drain, onUnreachable, settings } = options;
    const { retryRatio, retryReserve } = settings.routing;
    this.retryBudget = RetryBudget.create(retryRatio, retryReserve);
    this.followUp = AttemptFollowUp.create({
      crashGuard,
      drain,
      onUnreachable,
      retryBudget: this.retryBudget,
    });
  }

  /** Creates a dispatcher.
   * @param options Its dependencies. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Dispatches a request and writes the response, or the failure, to the sink.
   * @param request The request.
   * @param sink Receives the response.
   * @param disconnectSignal Aborted when the caller disconnects. */
  async dispatch(
    request: RoutedRequest,
    sink: ResponseSink,
    disconnectSignal: AbortSignal,
  ): Promise<DispatchResult> {
    this.retryBudget.recordRequest();
    const progress = createProgress(request, sink, disconnectSignal);
    const result = this.refuseIfHeld(progress) ??
      await this.tryUpstreamsUntilHeld(progress);
    if (result.type === "done") sink.end();
    if (result.type === "refused") {
      this.recordCut(progress, result.mayHaveRun);
      sink.fail(result.failure);
    }
    return result;
  }

  /** Records a refused request if the end of the router's stop has ended it. */
  private recordCut(
    { request, sink, upstreamId: upstream, events }: DispatchProgress,
    mayHaveStarted: boolean,
  ): void {
    const { drain } = this.options;
    if (!drain.endSignal.aborted) return;
    const end = mayHaveStarted ? "failed" : "refused";
    drain.recordCut(request, {
      end: sink.hasStarted ? "cut" : end,
      upstream,
      events,
    });
  }

  /** Returns the median pace of the streams of a request's model relative to their usual one; undefined if none is
   * known.
   * @param request The requirement of the request. */
  getPaceRatio(
    { requirement }: Pick<RoutedRequest, "requirement">,
  ): number | undefined {
    return requirement.role === "engine"
      ? findPaceRatio(this.dispatches, requirement.model, readClock())
      : undefined;
  }

  /** Returns the candidate upstreams for a request in order of preference.
   * @param request The requirement and the placement key of the request. */
  orderUpstreams(
    request: Pick<RoutedRequest, "requirement" | "placementKey">,
  ): readonly string[] {
    const candidates = this.options.getPlacement().getCandidates(
      request.requirement,
      request.placementKey,
    );
    const now = readClock();
    const getLoad = (id: string) => this.options.loads.getLoad(id, now) ?? 0;
    return POLICIES[this.options.settings.routing.policy].order(candidates, {
      random: this.random,
      getLoad,
    });
  }

  private refuseIfHeld(
    progress: DispatchProgress,
  ): DispatchResult | undefined {
    const request = toTrackedRequest(progress);
    const failure = this.options.crashGuard.findRefusal(request);
    return failure && { type: "refused", failure, mayHaveRun: false };
  }

  /** Ends the unanswered dispatches of requests that are held from now on.
   * @param hold The hold. */
  abortHeld({ kind, concerns }: RequestHold): void {
    for (const progress of this.dispatches) {
      if (progress.events > 0) continue;
      if (!concerns(toTrackedRequest(progress))) continue;
      progress.heldAs = kind;
      progress.hold.abort();
    }
  }

  /** Tries upstreams until one responds, none is left, or the request is held. */
  private async tryUpstreamsUntilHeld(
    progress: DispatchProgress,
  ): Promise<DispatchResult> {
    this.dispatches.add(progress);
    try {
      const result = await this.tryUpstreams(progress);
      return result.type === "abandoned" && progress.heldAs
        ? refuse(progress, progress.heldAs, "held while under way")
        : result;
    } finally {
      this.dispatches.delete(progress);
      this.options.crashGuard.recordEnd(progress.request.requestId);
    }
  }

  private async tryUpstreams(
    progress: DispatchProgress,
  ): Promise<DispatchResult> {
    const order = this.orderUpstreams(progress.request);
    if (order.length === 0) {
      return refuse(progress, "no_upstream", "no live upstream serves this");
    }
    const { candidateLimit } = this.options.settings.routing;
    const declines: Declines = new Map();
    let candidates = 0;
    for (const upstreamId of order) {
      if (candidates === candidateLimit) break;
      if (!this.mayContinueAt(progress, upstreamId)) continue;
      candidates += 1;
      const result = await this.tryUpstream(
        progress,
        upstreamId,
        false,
        declines,
      );
      if (result) return result;
    }
    const usable = order.filter((id) => this.mayContinueAt(progress, id));
    for (const upstreamId of this.chooseQueueUpstreams(usable)) {
      const result = await this.tryUpstream(
        progress,
        upstreamId,
        true,
        declines,
      );
      if (result) return result;
    }
    return refuseAfterLastUpstream(progress, declines);
  }

  private mayContinueAt(progress: DispatchProgress, id: string): boolean {
    return mayContinueAt(progress, this.options.getView().getUpstream(id));
  }

  /** Returns the upstreams where the request may be queued: the two least loaded of the first candidates, then the most
   * preferred one. */
  private chooseQueueUpstreams(order: readonly string[]): string[] {
    const now = readClock();
    const getLoad = (id: string) => this.options.loads.getLoad(id, now) ?? 0;
    const candidates = order.slice(
      0,
      this.options.settings.routing.candidateLimit,
    );
    const byLoad = [...candidates].sort((a, b) => getLoad(a) - getLoad(b));
    return [...new Set([...byLoad.slice(0, 2), ...candidates.slice(0, 1)])];
  }

  private async tryUpstream(
    progress: DispatchProgress,
    upstreamId: string,
    mayQueue: boolean,
    declines: Declines,
  ): Promise<DispatchResult | undefined> {
    for (let tryCount = 0; tryCount < MAX_OWNERS_PER_UPSTREAM; tryCount++) {
      if (!this.mayContinueAt(progress, upstreamId)) return undefined;
      const upstream = this.options.getView().getUpstream(upstreamId);
      const ownerId = this.chooseOwner(upstreamId, progress);
      if (!ownerId) return undefined;
      const eventsBefore = progress.events;
      progress.hasAttemptEvents = false;
      const outcome = await this.attempt(
        progress,
        upstreamId,
        ownerId,
        mayQueue,
      );
      if (eventsBefore === 0 && progress.events > 0) {
        progress.softwareVersion = upstream?.softwareVersion;
      }
      recordAttempt(this.options.crashGuard, {
        request: toTrackedRequest(progress),
        upstream,
        outcome,
        hasReceivedEvents: progress.hasAttemptEvents,
      });
      if (outcome.type === "declined") declines.set(upstreamId, outcome);
      if (outcome.type === "declined" && outcome.owner !== "") {
        recordRedirect(progress, upstreamId, outcome.owner);
      }
      if (outcome.type === "unreachable" && outcome.wasAccepted) {
        progress.possibleRunners.add(upstreamId);
      }
      const step = this.followUp.decide(progress, ownerId, outcome);
      if (step.type === "end") return step.end;
      if (step.type === "next_upstream") return undefined;
    }
    return undefined;
  }

  /** Returns the owner that another router redirected to, or else the first owner in this router's own view.
   * Owners that did not respond during this request are skipped. */
  private chooseOwner(
    upstreamId: string,
    progress: DispatchProgress,
  ): string | undefined {
    const host = this.options.getView().getUpstream(upstreamId);
    if (!host) return undefined;
    const named = progress.namedOwners.get(upstreamId);
    if (named !== undefined && !progress.silent.has(named)) return named;
    const owners = this.options.getPlacement().getOwners(host).filter((id) =>
      !progress.silent.has(id)
    );
    return owners[0] ?? this.options.settings.id;
  }

  private async attempt(
    progress: DispatchProgress,
    upstreamId: string,
    ownerId: string,
    mayQueue: boolean,
  ): Promise<AttemptOutcome> {
    const { request, sink, grant, endSignal } = progress;
    const remainingMs = request.deadlineAt - readClock();
    if (remainingMs <= 0) return { type: "expired" };
    if (endSignal.aborted) return { type: "abandoned" };
    const stopSignal = this.options.drain.endSignal;
    if (stopSignal.aborted) return { type: "withdrawn" };
    const client = await this.options.connectionPool.getClient(ownerId);
    if (!client) {
      return {
        type: "unreachable",
        detail: "no connection to the owner",
        wasAccepted: false,
      };
    }
    progress.upstreamId = upstreamId;
    return await Attempt.run({
      client,
      offer: buildOffer(progress, upstreamId, mayQueue, remainingMs),
      sink,
      grant,
      acceptTimeoutMs: this.options.settings.routing.acceptTimeoutMs,
      remainingMs,
      endSignal,
      stopSignal,
      onEvents: (count) => this.recordEvents(progress, count),
    });
  }

  private recordEvents(progress: DispatchProgress, count: number): void {
    if (!progress.hasAttemptEvents && count > 0) {
      progress.hasAttemptEvents = true;
      this.options.crashGuard.recordBegin(toTrackedRequest(progress));
    }
    progress.events += count;
    if (count > 0) progress.pace.recordEvents(count, readClock());
  }
}
