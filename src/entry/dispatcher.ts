import { readClock } from "../clock/clock.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { LoadBook } from "../owner/load_book.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import { POLICIES } from "../placement/policies.ts";
import { Random } from "../random/random.ts";
import type { Settings } from "../settings/settings_schema.ts";
import type { AnswerSink } from "./answer_sink.ts";
import { Attempt, type AttemptOutcome } from "./attempt.ts";
import { noteAttempt } from "./note_attempt.ts";
import {
  buildOffer,
  createProgress,
  type DispatchEnd,
  leavesDoubt,
  mayHaveRun,
  type Progress,
  recordNamedOwner,
  refuse,
} from "./dispatch_progress.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Owners tried for one upstream before it is left. */
const OWNERS_PER_UPSTREAM = 3;

/** What the dispatcher needs of the rest of the router. */
export interface DispatcherOptions {
  settings: Settings;
  logger: Logger;
  directory: PeerDirectory;
  loads: LoadBook;
  crashGuard: CrashGuard;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Told of a router that did not answer. */
  onUnreachable: (routerId: string) => void;
}

/** By upstream, how it last declined a request. */
type Declines = Map<string, Extract<AttemptOutcome, { type: "declined" }>>;

/** What follows from an attempt's outcome. */
type NextStep =
  | { type: "end"; end: DispatchEnd }
  | { type: "next_upstream" }
  | { type: "next_owner" };

/** Brings a request to an upstream: candidates in the order of its key, each through its owner. */
export class Dispatcher {
  private readonly budget: RetryBudget;
  private readonly random = Random.create();

  private constructor(private readonly options: DispatcherOptions) {
    const { retryRatio, retryReserve } = options.settings.routing;
    this.budget = RetryBudget.create(retryRatio, retryReserve);
  }

  /** Creates a dispatcher.
   * @param options What it needs. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Runs a request and sends its answer, or the refusal, to the sink.
   * @param request The request.
   * @param sink Takes the answer.
   * @param callerGone Aborted when the caller is gone. */
  async dispatch(
    request: RoutedRequest,
    sink: AnswerSink,
    callerGone: AbortSignal,
  ): Promise<DispatchEnd> {
    this.budget.earn();
    const progress = createProgress(request, sink, callerGone);
    const end = this.refuseHeld(progress) ?? await this.tryAll(progress);
    if (end.type === "done") sink.end();
    if (end.type === "refused") sink.fail(end.failure);
    return end;
  }

  /** Orders the upstreams for a request, the first choice first.
   * @param request What the request needs and its key. */
  order(
    request: Pick<RoutedRequest, "need" | "placementKey">,
  ): readonly string[] {
    const candidates = this.options.getPlacement().getCandidates(
      request.need,
      request.placementKey,
    );
    const now = readClock();
    const getLoad = (id: string) => this.options.loads.getLoad(id, now) ?? 0;
    return POLICIES[this.options.settings.routing.policy].order(candidates, {
      random: this.random,
      getLoad,
    });
  }

  private refuseHeld({ fingerprint }: Progress): DispatchEnd | undefined {
    const failure = this.options.crashGuard.findRefusal(fingerprint);
    return failure && { type: "refused", failure, mayHaveRun: false };
  }

  private async tryAll(progress: Progress): Promise<DispatchEnd> {
    const order = this.order(progress.request);
    if (order.length === 0) {
      return refuse(progress, "no_upstream", "no live upstream serves this");
    }
    const { candidateLimit } = this.options.settings.routing;
    const declines: Declines = new Map();
    for (const upstreamId of order.slice(0, candidateLimit)) {
      const end = await this.tryUpstream(progress, upstreamId, false, declines);
      if (end) return end;
    }
    for (const upstreamId of this.orderForQueue(order)) {
      const end = await this.tryUpstream(progress, upstreamId, true, declines);
      if (end) return end;
    }
    return this.giveUp(progress, declines);
  }

  /** The upstreams to wait for: the least loaded of the nearest candidates, then the first choice. */
  private orderForQueue(order: readonly string[]): string[] {
    const now = readClock();
    const getLoad = (id: string) => this.options.loads.getLoad(id, now) ?? 0;
    const near = order.slice(0, this.options.settings.routing.candidateLimit);
    const least = [...near].sort((a, b) => getLoad(a) - getLoad(b));
    return [...new Set([...least.slice(0, 2), ...near.slice(0, 1)])];
  }

  private async tryUpstream(
    progress: Progress,
    upstreamId: string,
    mayQueue: boolean,
    declines: Declines,
  ): Promise<DispatchEnd | undefined> {
    for (let tries = 0; tries < OWNERS_PER_UPSTREAM; tries++) {
      const ownerId = this.chooseOwner(upstreamId, progress);
      if (!ownerId) return undefined;
      const eventsBefore = progress.events;
      const outcome = await this.attempt(
        progress,
        upstreamId,
        ownerId,
        mayQueue,
      );
      noteAttempt(this.options.crashGuard, {
        fingerprint: progress.fingerprint,
        upstream: this.options.getView().getUpstream(upstreamId),
        outcome,
        isAnsweredInPart: progress.events > eventsBefore,
      });
      if (outcome.type === "declined") declines.set(upstreamId, outcome);
      if (outcome.type === "declined" && outcome.owner !== "") {
        recordNamedOwner(progress, upstreamId, outcome.owner);
      }
      if (outcome.type === "unreachable" && outcome.wasAccepted) {
        progress.heldBy.add(upstreamId);
      }
      const step = this.decide(progress, ownerId, outcome);
      if (step.type === "end") return step.end;
      if (step.type === "next_upstream") return undefined;
    }
    return undefined;
  }

  /** The owner that another router named, or else the first in this router's own view that is not silent. */
  private chooseOwner(
    upstreamId: string,
    progress: Progress,
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
    progress: Progress,
    upstreamId: string,
    ownerId: string,
    mayQueue: boolean,
  ): Promise<AttemptOutcome> {
    const { request, sink, grant, callerGone } = progress;
    const remainingMs = request.deadlineAt - readClock();
    if (remainingMs <= 0) return { type: "expired" };
    if (callerGone.aborted) return { type: "abandoned" };
    const client = await this.options.directory.getClient(ownerId);
    if (!client) {
      return {
        type: "unreachable",
        detail: "no connection to the owner",
        wasAccepted: false,
      };
    }
    return await Attempt.make({
      client,
      offer: buildOffer(progress, upstreamId, mayQueue, remainingMs),
      sink,
      grant,
      acceptTimeoutMs: this.options.settings.routing.acceptTimeoutMs,
      remainingMs,
      callerGone,
      onEvents: (count) => progress.events += count,
    });
  }

  private decide(
    progress: Progress,
    ownerId: string,
    outcome: AttemptOutcome,
  ): NextStep {
    progress.isUncertain ||= leavesDoubt(outcome);
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
        return this.decideOnDecline(progress, ownerId, outcome.reason);
      case "unreachable":
        this.options.onUnreachable(ownerId);
        progress.silent.add(ownerId);
        return this.decideOnFailure(progress, outcome.detail, {
          type: "next_owner",
        });
      case "failed":
        return this.decideOnFailure(progress, outcome.detail, {
          type: "next_upstream",
        });
    }
  }

  private decideOnDecline(
    progress: Progress,
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

  private decideOnFailure(
    progress: Progress,
    detail: string,
    next: NextStep,
  ): NextStep {
    progress.lastDetail = detail;
    if (progress.grant.taken) {
      return { type: "end", end: refuse(progress, "outcome_unknown", detail) };
    }
    if (!this.options.crashGuard.maySendAgain(progress.fingerprint)) {
      return {
        type: "end",
        end: refuse(progress, "crashes_upstreams", `held after ${detail}`),
      };
    }
    if (this.budget.spend()) return next;
    return {
      type: "end",
      end: refuse(progress, "no_upstream", `no retry left: ${detail}`),
    };
  }

  private giveUp(progress: Progress, declines: Declines): DispatchEnd {
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
      return refuse(progress, "overloaded", detail, getFirstBackoff(declines));
    }
    return refuse(
      progress,
      "no_upstream",
      progress.lastDetail || "no owner answered",
    );
  }
}

/** Time until the first upstream may be asked again, in milliseconds; undefined where one is full and named no time. */
function getFirstBackoff(declines: Declines): number | undefined {
  const full = [...declines.values()].filter(({ reason }) => reason === "full");
  const first = Math.min(...full.map(({ backoffMs }) => backoffMs ?? 0));
  return first > 0 ? first : undefined;
}
