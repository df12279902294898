import { readClock } from "../clock/clock.ts";
import type { ServerResponse } from "node:http";
import { Failure } from "../errors/failure.ts";
import { hashRequest } from "../hashing/request_fingerprint.ts";
import { KeyClaim } from "../witness/key_claim.ts";
import { parseKeyTimestamp } from "../witness/key_timestamp.ts";
import type { KeyRecord } from "../witness/key_record.ts";
import { createDisconnectSignal } from "./caller_checks.ts";
import type { DispatchResult } from "./dispatch_progress.ts";
import type { EntryContext } from "./entry_context.ts";
import type { Outcome, StoredResponse } from "./outcome_store.ts";
import { getRequestIdentity, type RoutedRequest } from "./routed_request.ts";
import type { ResponseSink } from "./response_sink.ts";
import { StreamSink } from "./stream_sink.ts";
import { BufferedSink } from "./buffered_sink.ts";

/** Maximum number of claims for one request; each after the first replaces an attempt that its holder has released. */
const MAX_CLAIMS = 3;

/** Number of hexadecimal digits of a request's hash that are compared. */
const FINGERPRINT_HEX_LENGTH = 32;

/** Transforms a complete response of an upstream into the response for the caller. */
export type ResponseTransform = (response: StoredResponse) => StoredResponse;

/** Runs a request and streams its response to the caller.
 * @param context Dependencies of the handler.
 * @param request The request, which has no idempotency key.
 * @param response The caller's response. */
export async function runStreaming(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
): Promise<void> {
  context.drain.assertFits(request);
  const sink = StreamSink.create(response, request.requestId);
  await dispatch(context, request, sink, createDisconnectSignal(response));
}

/** Dispatches a request, and records how long an answer took. */
async function dispatch(
  { dispatcher, drain }: EntryContext,
  request: RoutedRequest,
  sink: ResponseSink,
  disconnectSignal: AbortSignal,
): Promise<DispatchResult> {
  const startedAt = readClock();
  const result = await dispatcher.dispatch(request, sink, disconnectSignal);
  if (result.type === "done") {
    drain.recordAnswer(request, readClock() - startedAt, result.pace);
  }
  drain.forget(request);
  return result;
}

/** Runs a request and sends its response when it is complete.
 * A request with an idempotency key runs at most once in the fleet.
 * @param context Dependencies of the handler.
 * @param request The request.
 * @param response The caller's response.
 * @param transform Transforms the upstream's response into the caller's. */
export async function runBuffered(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
  transform: ResponseTransform,
): Promise<void> {
  context.drain.assertFits(request);
  const result = request.key === undefined
    ? await dispatchUnkeyed(context, request, response, transform)
    : await runIdempotent(context, request, request.key, response, transform);
  if (result instanceof Failure) throw result;
  response.writeHead(result.status, {
    ...result.headers,
    "x-request-id": request.requestId,
  });
  response.end(result.body);
}

async function runIdempotent(
  context: EntryContext,
  request: RoutedRequest,
  key: string,
  response: ServerResponse,
  transform: ResponseTransform,
): Promise<StoredResponse | Failure> {
  assertKeyNotExpired(context, key);
  let replaces = "";
  for (let count = 0; count < MAX_CLAIMS; count++) {
    const claim = createClaim(context, request, key);
    context.outcomes.open(claim.attempt, Date.now());
    const voteResult = await claim.acquire(replaces);
    if (voteResult.type === "claimed") {
      return await runClaimed(context, request, claim, response, transform);
    }
    context.outcomes.settle(claim.attempt, { state: "released" });
    if (voteResult.type === "unconfirmed") {
      return Failure.create(
        "key_unconfirmed",
        "too few routers that remember the key were reached",
      );
    }
    const outcome = await context.drain.waitUntilEnd(
      request,
      requestOutcome(context, request, voteResult.record),
      () => createUnconfirmedFailure(context),
    );
    if (outcome instanceof Failure) return outcome;
    if (outcome.state === "done") return markReplayed(outcome.response);
    if (outcome.state === "unknown") {
      return Failure.create(
        "outcome_unknown",
        "an earlier attempt holds the key",
      );
    }
    replaces = voteResult.record.attempt;
  }
  return Failure.create(
    "key_unconfirmed",
    "other attempts with the key came and went",
  );
}

async function runClaimed(
  context: EntryContext,
  request: RoutedRequest,
  claim: KeyClaim,
  response: ServerResponse,
  transform: ResponseTransform,
): Promise<StoredResponse | Failure> {
  const refusal = findStopRefusal(context, request);
  if (refusal) {
    context.outcomes.settle(claim.attempt, { state: "released" });
    await claim.release();
    return refusal;
  }
  const dispatched = await dispatchBuffered(
    context,
    request,
    response,
    transform,
  );
  context.outcomes.settle(claim.attempt, dispatched.outcome);
  if (dispatched.outcome.state === "released") await claim.release();
  return dispatched.result;
}

/** Returns why a request is refused that has waited for votes while the router stops; undefined if it is accepted. */
function findStopRefusal(
  { drain }: EntryContext,
  request: RoutedRequest,
): Failure | undefined {
  try {
    drain.assertFits(request);
    return undefined;
  } catch (thrown) {
    return Failure.from(thrown);
  }
}

/** Creates the failure of a request whose key another attempt holds, at the end of a stop. */
function createUnconfirmedFailure({ drain }: EntryContext): Failure {
  return Failure.create(
    "key_unconfirmed",
    "the router has stopped while another attempt held the key",
    drain.retryAfterMs,
  );
}

/** Dispatches a request into a buffer; returns the result for the caller and the outcome for the outcome store. */
async function dispatchBuffered(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
  transform: ResponseTransform,
): Promise<{ result: StoredResponse | Failure; outcome: Outcome }> {
  let result: StoredResponse | Failure = Failure.create(
    "internal",
    "the request ended without an answer",
  );
  const sink = BufferedSink.create(
    (upstreamResponse) => result = transform(upstreamResponse),
    (failure) => result = failure,
    () => response.destroyed,
  );
  const disconnectSignal = request.repeatable
    ? createDisconnectSignal(response)
    : new AbortController().signal;
  const dispatchResult = await dispatch(
    context,
    request,
    sink,
    disconnectSignal,
  );
  if (dispatchResult.type === "done") {
    return {
      result,
      outcome: { state: "done", response: result as unknown as StoredResponse },
    };
  }
  return {
    result,
    outcome: { state: dispatchResult.mayHaveRun ? "unknown" : "released" },
  };
}

async function dispatchUnkeyed(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
  transform: ResponseTransform,
): Promise<StoredResponse | Failure> {
  return (await dispatchBuffered(context, request, response, transform)).result;
}

function assertKeyNotExpired(context: EntryContext, key: string): void {
  const createdAt = parseKeyTimestamp(key);
  if (
    createdAt !== undefined &&
    Date.now() - createdAt > context.settings.keys.rememberMs
  ) {
    throw Failure.create(
      "outcome_unknown",
      "header idempotency-key: older than keys are remembered",
    );
  }
}

/** Prefixes a key with the customer's id, so that keys of different customers cannot collide. */
function scopeKey(request: RoutedRequest, key: string): string {
  return `${request.customer.id}/${key}`;
}

function getFingerprint(request: RoutedRequest): string {
  return hashRequest(getRequestIdentity(request)).toString("hex")
    .slice(0, FINGERPRINT_HEX_LENGTH);
}

function createClaim(
  context: EntryContext,
  request: RoutedRequest,
  key: string,
): KeyClaim {
  const options = {
    ownId: context.settings.id,
    connectionPool: context.connectionPool,
    getView: context.getView,
    voteTimeoutMs: context.settings.keys.voteTimeoutMs,
  };
  return KeyClaim.create(
    options,
    scopeKey(request, key),
    getFingerprint(request),
  );
}

/** Requests the outcome from the router that holds a key; fails if the key was used with another request. */
async function requestOutcome(
  context: EntryContext,
  request: RoutedRequest,
  record: KeyRecord,
): Promise<Outcome | Failure> {
  if (record.fingerprint !== getFingerprint(request)) {
    return Failure.create(
      "key_reused",
      "header idempotency-key: another request had it",
    );
  }
  const waitMs = Math.max(1, request.deadlineAt - readClock());
  const buildFrame = (exchange: number) =>
    ({ type: "outcome", exchange, attempt: record.attempt, waitMs }) as const;
  const frame = await context.connectionPool.request(
    record.holder,
    buildFrame,
    "outcome_is",
    waitMs,
  );
  if (!frame || frame.state === "unknown") return { state: "unknown" };
  if (frame.state === "released") return { state: "released" };
  const { status, headers, body } = frame;
  return {
    state: "done",
    response: { status, headers, body: Buffer.from(body) },
  };
}

function markReplayed(response: StoredResponse): StoredResponse {
  return {
    ...response,
    headers: { ...response.headers, "x-beechkeel-replayed": "yes" },
  };
}
