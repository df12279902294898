import { readClock } from "../clock/clock.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { LoadTable } from "../owner/load_table.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import { POLICIES } from "../placement/policies.ts";
import { Random } from "../random/random.ts";
import type { Settings } from "../settings/settings_schema.ts";
import type { ResponseSink } from "./response_sink.ts";
import { Attempt, type AttemptOutcome } from "./attempt.ts";
import { recordAttempt } from "./record_attempt.ts";
import {
  buildOffer,
  createProgress,
  type DispatchProgress,
  type DispatchResult,
  isInconclusive,
  mayContinueAt,
  mayHaveRun,
  recordRedirect,
  refuse,
  toTrackedRequest,
} from "./dispatch_progress.ts";
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
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Called with the id of a router that did not respond. */
  onUnreachable: (routerId: string) => void;
}

/** The last declined attempt by upstream. */
type Declines = Map<string, Extract<AttemptOutcome, { type: "declined" }>>;

/** How dispatching continues after an attempt. */
type NextStep =
  | { type: "end"; end: DispatchResult }
  | { type: "next_upstream" }
  | { type: "next_owner" };

/** Dispatches requests to upstreams.
 * Candidates are tried in the order given by the placement key, each through the router that owns it. */
export class Dispatcher {
  private readonly retryBudget: RetryBudget;
  private readonly random = Random.create();

  private constructor(private readonly options: DispatcherOptions) {
    const { retryRatio, retryReserve } = options.settings.routing;
    this.retryBudget = RetryBudget.create(retryRatio, retryReserve);
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
      await this.tryUpstreams(progress);
    if (result.type === "done") sink.end();
    if (result.type === "refused") sink.fail(result.failure);
    return result;
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
    return this.refuseAfterLastUpstream(progress, declines);
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
        hasReceivedEvents: progress.events > eventsBefore,
      });
      if (outcome.type === "declined") declines.set(upstreamId, outcome);
      if (outcome.type === "declined" && outcome.owner !== "") {
        recordRedirect(progress, upstreamId, outcome.owner);
      }
      if (outcome.type === "unreachable" && outcome.wasAccepted) {
        progress.possibleRunners.add(upstreamId);
      }
      const step = this.decideNextStep(progress, ownerId, outcome);
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
    const { request, sink, grant, disconnectSignal } = progress;
    const remainingMs = request.deadlineAt - readClock();
    if (remainingMs <= 0) return { type: "expired" };
    if (disconnectSignal.aborted) return { type: "abandoned" };
    const client = await this.options.connectionPool.getClient(ownerId);
    if (!client) {
      return {
        type: "unreachable",
        detail: "no connection to the owner",
        wasAccepted: false,
      };
    }
    return await Attempt.run({
      client,
      offer: buildOffer(progress, upstreamId, mayQueue, remainingMs),
      sink,
      grant,
      acceptTimeoutMs: this.options.settings.routing.acceptTimeoutMs,
      remainingMs,
      disconnectSignal,
      onEvents: (count) => progress.events += count,
    });
  }

  private decideNextStep(
    progress: DispatchProgress,
    ownerId: string,
    outcome: AttemptOutcome,
  ): NextStep {
    progress.hasInconclusiveAttempt ||= isInconclusive(outcome);
    switch (outcome.type) {
      case "done":
        return { type: "end", end: { type: "done" } };
      case "abandoned":
        return {
          type: "end",
          end: { type: "abandoned", mayHaveRun: mayHaveRun(progress) },
        };
      case "expired":
        return {
          type: "end",
          end: refuse(
            progress,
            "deadline_exceeded",
            "the caller's time is over",
          ),
        };
      case "declined":
        return this.decideAfterDecline(progress, ownerId, outcome.reason);
      case "unreachable":
        this.options.onUnreachable(ownerId);
        progress.silent.add(ownerId);
        return this.decideAfterFailure(progress, outcome.detail, {
          type: "next_owner",
        });
      case "failed":
        return this.decideAfterFailure(progress, outcome.detail, {
          type: "next_upstream",
        });
    }
  }

  private decideAfterDecline(
    progress: DispatchProgress,
    ownerId: string,
    reason: string,
  ): NextStep {
    progress.lastDetail = reason;
    if (reason === "deadline") {
      return {
        type: "end",
        end: refuse(progress, "deadline_exceeded", "the time ended in a queue"),
      };
    }
    if (reason === "moved") return { type: "next_owner" };
    if (reason !== "stale") return { type: "next_upstream" };
    progress.silent.add(ownerId);
    return { type: "next_owner" };
  }

  private decideAfterFailure(
    progress: DispatchProgress,
    detail: string,
    next: NextStep,
  ): NextStep {
    progress.lastDetail = detail;
    if (progress.grant.isAcquired) {
      return { type: "end", end: refuse(progress, "outcome_unknown", detail) };
    }
    if (!this.options.crashGuard.mayRetry(toTrackedRequest(progress))) {
      return {
        type: "end",
        end: refuse(progress, "crashes_upstreams", `held after ${detail}`),
      };
    }
    if (this.retryBudget.tryAcquire()) return next;
    return {
      type: "end",
      end: refuse(progress, "no_upstream", `no retry left: ${detail}`),
    };
  }

  private refuseAfterLastUpstream(
    progress: DispatchProgress,
    declines: Declines,
  ): DispatchResult {
    if (progress.events > 0) {
      return refuse(progress, "stream_broken", progress.lastDetail);
    }
    const reasons = [...declines.values()].map(({ reason }) => reason);
    if (reasons.includes("share")) {
      return refuse(
        progress,
        "too_many_requests",
        "the customer's queue is full",
      );
    }
    if (reasons.includes("full")) {
      const detail = "all candidates are full";
      return refuse(
        progress,
        "overloaded",
        detail,
        getShortestBackoff(declines),
      );
    }
    return refuse(
      progress,
      "no_upstream",
      progress.lastDetail || "no owner answered",
    );
  }
}

/** Returns the shortest backoff of the full upstreams, in milliseconds; undefined if one of them specified none. */
function getShortestBackoff(declines: Declines): number | undefined {
  const full = [...declines.values()].filter(({ reason }) => reason === "full");
  const shortest = Math.min(...full.map(({ backoffMs }) => backoffMs ?? 0));
  return shortest > 0 ? shortest : undefined;
}
