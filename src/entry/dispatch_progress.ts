import type { TrackedRequest } from "../crashes/interrupted_request.ts";
import type { Host } from "../configuration_service/host_schema.ts";
import { ERROR_RESPONSES } from "../errors/error_responses.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import { Failure } from "../errors/failure.ts";
import { fingerprintRequest } from "../hashing/request_fingerprint.ts";
import { StreamPace } from "../forward/stream_pace.ts";
import type { ResponseSink } from "./response_sink.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { getRequestIdentity, type RoutedRequest } from "./routed_request.ts";
import { SendGrant } from "./send_grant.ts";

/** Maximum number of unresponsive routers listed in an offer. */
const MAX_AVOIDED_ROUTERS = 16;

/** Result of a dispatch; `mayHaveRun` tells whether the request may have been run, as far as the entry router knows. */
export type DispatchResult =
  | { type: "done"; pace: StreamPace }
  | { type: "refused"; failure: Failure; mayHaveRun: boolean }
  | { type: "abandoned"; mayHaveRun: boolean };

/** State of a request while it is dispatched. */
export interface DispatchProgress {
  request: RoutedRequest;
  /** Equal for identical requests of the same customer. */
  fingerprint: number;
  sink: ResponseSink;
  grant: SendGrant;
  /** Aborted when the request is held while it is under way. */
  hold: AbortController;
  /** Error kind of that hold; undefined if the request is not held. */
  heldAs: ErrorKind | undefined;
  /** Aborted when the caller disconnects or the request is held. */
  endSignal: AbortSignal;
  /** The upstream that the request was offered to last; undefined if there was none. */
  upstreamId: string | undefined;
  /** The pauses between the events of the response. */
  pace: StreamPace;
  /** Number of events that were passed to the sink. */
  events: number;
  /** Whether an event of the current attempt was passed to the sink. */
  hasAttemptEvents: boolean;
  /** Software version of the upstream that sent the first event; undefined if none was sent or it publishes none. */
  softwareVersion: string | undefined;
  /** Routers that did not respond, or declined as stale, during this request. */
  silent: Set<string>;
  /** Routers that were removed from `silent` once, because another router named them as the owner. */
  retried: Set<string>;
  /** Owners that other routers redirected to, by upstream. */
  namedOwners: Map<string, string>;
  /** Upstreams that may still be running the request for an owner that became unreachable. */
  possibleRunners: Set<string>;
  /** Whether an attempt ended without confirmation by the owner that nothing was sent. */
  hasInconclusiveAttempt: boolean;
  /** Detail of the last decline or failure. */
  lastDetail: string;
}

/** Returns the properties by which requests that crash upstreams are recognized.
 * @param progress State of the request. */
export function toTrackedRequest(
  { request: { requestId, promptParts }, fingerprint }: DispatchProgress,
): TrackedRequest {
  return { requestId, fingerprint, parts: promptParts };
}

/** Builds the frame that offers a request to an owner.
 * @param progress State of the request.
 * @param upstreamId The upstream.
 * @param mayQueue Whether the request may be queued at the upstream.
 * @param remainingMs Time until the deadline. */
export function buildOffer(
  progress: DispatchProgress,
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
    avoids: [...progress.silent].slice(0, MAX_AVOIDED_ROUTERS),
    resumes: progress.possibleRunners.has(upstreamId),
    resumeFrom: progress.events,
    remainingMs,
  };
}

/** Whether an upstream may run the request: once events were sent, only one of the software version that sent them.
 * @param progress State of the request.
 * @param upstream The upstream. */
export function mayContinueAt(
  progress: Pick<DispatchProgress, "events" | "softwareVersion">,
  upstream: Host | undefined,
): boolean {
  return progress.events === 0 ||
    upstream?.softwareVersion === progress.softwareVersion;
}

/** Records a redirect to another owner of an upstream.
 * An owner that did not respond before is tried once more, because the redirecting router has heard from it since.
 * @param progress State of the request.
 * @param upstreamId The upstream.
 * @param ownerId The owner that the redirect names. */
export function recordRedirect(
  progress: Pick<DispatchProgress, "silent" | "retried" | "namedOwners">,
  upstreamId: string,
  ownerId: string,
): void {
  progress.namedOwners.set(upstreamId, ownerId);
  if (progress.retried.has(ownerId)) return;
  if (progress.silent.delete(ownerId)) progress.retried.add(ownerId);
}

/** Types of outcomes after which it is known whether the request was run. */
const CONCLUSIVE_OUTCOMES: ReadonlySet<AttemptOutcome["type"]> = new Set([
  "done",
  "declined",
  "withdrawn",
]);

/** Whether an attempt ended without confirmation by the owner that nothing was sent. */
export function isInconclusive(outcome: AttemptOutcome): boolean {
  if (outcome.type === "failed") return outcome.ran === "unknown";
  return !CONCLUSIVE_OUTCOMES.has(outcome.type);
}

/** Whether an upstream may have started to run the request. */
export function mayHaveRun(progress: DispatchProgress): boolean {
  return progress.request.repeatable
    ? progress.hasInconclusiveAttempt
    : progress.grant.isAcquired;
}

/** Refuses a request.
 * If the request may have run, an error kind that states that it was not run is replaced.
 * @param progress State of the request.
 * @param kind The error kind.
 * @param detail Detail of the error.
 * @param retryAfterMs Time after which the caller may retry, in milliseconds, if upstreams specified one. */
export function refuse(
  progress: DispatchProgress,
  kind: ErrorKind,
  detail: string,
  retryAfterMs?: number,
): DispatchResult {
  const mayHaveStarted = mayHaveRun(progress);
  const assertsNotRun = ERROR_RESPONSES[kind].ran === "no";
  const actualKind = mayHaveStarted && assertsNotRun
    ? toInconclusiveKind(progress, kind)
    : kind;
  return {
    type: "refused",
    failure: Failure.create(actualKind, detail, retryAfterMs),
    mayHaveRun: mayHaveStarted,
  };
}

function toInconclusiveKind(
  progress: DispatchProgress,
  kind: ErrorKind,
): ErrorKind {
  if (!progress.request.repeatable) return "outcome_unknown";
  return kind === "deadline_exceeded" ? "timed_out" : "upstream_failed";
}

/** Creates the state of a request that is not dispatched yet.
 * @param request The request.
 * @param sink Receives the response.
 * @param disconnectSignal Aborted when the caller disconnects. */
export function createProgress(
  request: RoutedRequest,
  sink: ResponseSink,
  disconnectSignal: AbortSignal,
): DispatchProgress {
  const hold = new AbortController();
  return {
    request,
    fingerprint: fingerprintRequest(getRequestIdentity(request)),
    sink,
    grant: SendGrant.create(),
    hold,
    heldAs: undefined,
    endSignal: AbortSignal.any([disconnectSignal, hold.signal]),
    upstreamId: undefined,
    pace: StreamPace.create(),
    events: 0,
    hasAttemptEvents: false,
    softwareVersion: undefined,
    silent: new Set(),
    retried: new Set(),
    namedOwners: new Map(),
    possibleRunners: new Set(),
    hasInconclusiveAttempt: false,
    lastDetail: "",
  };
}
