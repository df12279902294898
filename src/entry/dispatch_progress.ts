import { ANSWER_TABLE } from "../errors/answer_table.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import { Failure } from "../errors/failure.ts";
import { fingerprintRequest } from "../hashing/request_fingerprint.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { identify, type RoutedRequest } from "./routed_request.ts";
import { SendGrant } from "./send_grant.ts";

/** Silent routers named in an offer. */
const MAX_AVOIDED = 16;

/** Whether the request was run, as far as the entry knows. */
export type DispatchEnd =
  | { type: "done" }
  | { type: "refused"; failure: Failure; mayHaveRun: boolean }
  | { type: "abandoned"; mayHaveRun: boolean };

/** What is known of a request while it is dispatched. */
export interface Progress {
  request: RoutedRequest;
  /** Equal for requests that ask the same for the same customer. */
  fingerprint: number;
  sink: AnswerSink;
  grant: SendGrant;
  callerGone: AbortSignal;
  /** Events that reached the sink. */
  events: number;
  /** Routers that did not answer during this request. */
  silent: Set<string>;
  /** Those of them that were tried once more, for another router had heard them. */
  retried: Set<string>;
  /** Owners that other routers named, by upstream. */
  namedOwners: Map<string, string>;
  /** Upstreams that may be at work on the request for an owner that was lost. */
  heldBy: Set<string>;
  /** Whether an attempt ended without the owner's word that nothing was sent. */
  isUncertain: boolean;
  lastDetail: string;
}

/** Builds the offer of a request to an owner.
 * @param progress The request and what is known of it.
 * @param upstreamId The upstream.
 * @param mayQueue Whether it may wait there.
 * @param remainingMs Time left. */
export function buildOffer(
  progress: Progress,
  upstreamId: string,
  mayQueue: boolean,
  remainingMs: number,
) {
  const { requestId, work, method, path, headers, body, repeatable, customer } =
    progress.request;
  return {
    type: "offer" as const,
    requestId,
    upstreamId,
    work,
    method,
    path,
    headers,
    body,
    customer: customer.id,
    partner: customer.partner,
    priority: customer.priority,
    capacityShare: customer.capacityShare,
    repeatable,
    mayQueue,
    avoids: [...progress.silent].slice(0, MAX_AVOIDED),
    resumes: progress.heldBy.has(upstreamId),
    resumeFrom: progress.events,
    remainingMs,
  };
}

/** Records which router another one names as the owner of an upstream. One that was silent is tried once more: the other has
 * heard it since.
 * @param progress The request and what is known of it.
 * @param upstreamId The upstream.
 * @param ownerId The named router. */
export function recordNamedOwner(
  progress: Pick<Progress, "silent" | "retried" | "namedOwners">,
  upstreamId: string,
  ownerId: string,
): void {
  progress.namedOwners.set(upstreamId, ownerId);
  if (progress.retried.has(ownerId)) return;
  if (progress.silent.delete(ownerId)) progress.retried.add(ownerId);
}

/** Whether an attempt ended without the owner's word that nothing was sent. */
export function leavesDoubt(outcome: AttemptOutcome): boolean {
  if (outcome.type === "failed") return outcome.ran === "unknown";
  return outcome.type !== "done" && outcome.type !== "declined";
}

/** Whether an upstream may have begun the request. */
export function mayHaveRun(progress: Progress): boolean {
  return progress.request.repeatable
    ? progress.isUncertain
    : progress.grant.taken;
}

/** Refuses a request; a kind that promises "not run" is replaced where that is not certain.
 * @param progress The request and what is known of it.
 * @param kind Why.
 * @param detail What exactly.
 * @param retryAfterMs Time after which the caller may come back, in milliseconds, where upstreams told one. */
export function refuse(
  progress: Progress,
  kind: ErrorKind,
  detail: string,
  retryAfterMs?: number,
): DispatchEnd {
  const isDoubtful = mayHaveRun(progress);
  const isPromise = ANSWER_TABLE[kind].ran === "no";
  const actual = isDoubtful && isPromise ? replaceKind(progress, kind) : kind;
  return {
    type: "refused",
    failure: Failure.create(actual, detail, retryAfterMs),
    mayHaveRun: isDoubtful,
  };
}

function replaceKind(progress: Progress, kind: ErrorKind): ErrorKind {
  if (!progress.request.repeatable) return "outcome_unknown";
  return kind === "deadline_exceeded" ? "timed_out" : "upstream_failed";
}

/** Creates the progress of a request of which nothing is known yet.
 * @param request The request.
 * @param sink Takes the answer.
 * @param callerGone Aborted when the caller is gone. */
export function createProgress(
  request: RoutedRequest,
  sink: AnswerSink,
  callerGone: AbortSignal,
): Progress {
  return {
    request,
    fingerprint: fingerprintRequest(identify(request)),
    sink,
    grant: SendGrant.create(),
    callerGone,
    events: 0,
    silent: new Set(),
    retried: new Set(),
    namedOwners: new Map(),
    heldBy: new Set(),
    isUncertain: false,
    lastDetail: "",
  };
}
