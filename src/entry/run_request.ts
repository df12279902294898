import { readClock } from "../clock/clock.ts";
import type { ServerResponse } from "node:http";
import { Failure } from "../errors/failure.ts";
import { hashRequest } from "../hashing/request_fingerprint.ts";
import { KeyClaim } from "../witness/key_claim.ts";
import { readKeyTime } from "../witness/key_time.ts";
import type { KeyRecord } from "../witness/key_record.ts";
import { signalWhenGone } from "./caller_checks.ts";
import type { EntryContext } from "./entry_context.ts";
import type { KeptAnswer, Outcome } from "./outcome_store.ts";
import { identify, type RoutedRequest } from "./routed_request.ts";
import { StreamSink } from "./stream_sink.ts";
import { WholeSink } from "./whole_sink.ts";

/** Attempts given up elsewhere that one request replaces before it is refused. */
const MAX_REPLACED = 3;

/** Characters of a request's hash that are compared. */
const FINGERPRINT_LENGTH = 32;

/** Turns a whole answer into the one that is sent, where the two differ. */
export type AnswerShaper = (answer: KeptAnswer) => KeptAnswer;

/** Runs a request whose answer is passed on as it comes.
 * @param context What the handler works with.
 * @param request The request; it may be repeated.
 * @param response The caller's response. */
export async function runStreamed(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
): Promise<void> {
  const sink = StreamSink.create(response, request.requestId);
  await context.dispatcher.dispatch(request, sink, signalWhenGone(response));
}

/** Runs a request whose answer is sent when it is whole; under an idempotency key at most once in the fleet.
 * @param context What the handler works with.
 * @param request The request.
 * @param response The caller's response.
 * @param shape Turns the upstream's answer into the caller's. */
export async function runWhole(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
  shape: AnswerShaper,
): Promise<void> {
  const answer = request.key === undefined
    ? await dispatchWhole(context, request, response, shape)
    : await runKeyed(context, request, request.key, response, shape);
  if (answer instanceof Failure) throw answer;
  response.writeHead(answer.status, {
    ...answer.headers,
    "x-request-id": request.requestId,
  });
  response.end(answer.body);
}

async function runKeyed(
  context: EntryContext,
  request: RoutedRequest,
  key: string,
  response: ServerResponse,
  shape: AnswerShaper,
): Promise<KeptAnswer | Failure> {
  checkAge(context, key);
  let replaces = "";
  for (let count = 0; count < MAX_REPLACED; count++) {
    const claim = createClaim(context, request, key);
    context.outcomes.open(claim.attempt, Date.now());
    const verdict = await claim.ask(replaces);
    if (verdict.type === "claimed") {
      return await runClaimed(context, request, claim, response, shape);
    }
    context.outcomes.settle(claim.attempt, { state: "released" });
    if (verdict.type === "unconfirmed") {
      return Failure.create(
        "key_unconfirmed",
        "too few routers that remember the key were reached",
      );
    }
    const outcome = await askHolder(context, request, verdict.record);
    if (outcome instanceof Failure) return outcome;
    if (outcome.state === "done") return replay(outcome.answer);
    if (outcome.state === "unknown") {
      return Failure.create(
        "outcome_unknown",
        "an earlier attempt holds the key",
      );
    }
    replaces = verdict.record.attempt;
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
  shape: AnswerShaper,
): Promise<KeptAnswer | Failure> {
  const end = await dispatchTo(context, request, response, shape);
  context.outcomes.settle(claim.attempt, end.outcome);
  if (end.outcome.state === "released") await claim.release();
  return end.result;
}

/** Runs the request and says both what the caller gets and what is kept of it. */
async function dispatchTo(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
  shape: AnswerShaper,
): Promise<{ result: KeptAnswer | Failure; outcome: Outcome }> {
  let result: KeptAnswer | Failure = Failure.create(
    "internal",
    "the request ended without an answer",
  );
  const sink = WholeSink.create(
    (answer) => result = shape(answer),
    (failure) => result = failure,
    () => response.destroyed,
  );
  const callerGone = request.repeatable
    ? signalWhenGone(response)
    : new AbortController().signal;
  const end = await context.dispatcher.dispatch(request, sink, callerGone);
  if (end.type === "done") {
    return {
      result,
      outcome: { state: "done", answer: result as unknown as KeptAnswer },
    };
  }
  return {
    result,
    outcome: { state: end.mayHaveRun ? "unknown" : "released" },
  };
}

async function dispatchWhole(
  context: EntryContext,
  request: RoutedRequest,
  response: ServerResponse,
  shape: AnswerShaper,
): Promise<KeptAnswer | Failure> {
  return (await dispatchTo(context, request, response, shape)).result;
}

function checkAge(context: EntryContext, key: string): void {
  const madeAt = readKeyTime(key);
  if (
    madeAt !== undefined &&
    Date.now() - madeAt > context.settings.keys.rememberMs
  ) {
    throw Failure.create(
      "outcome_unknown",
      "header idempotency-key: older than keys are remembered",
    );
  }
}

/** Keys of different customers never meet. */
function nameKey(request: RoutedRequest, key: string): string {
  return `${request.customer.id}/${key}`;
}

function fingerprint(request: RoutedRequest): string {
  return hashRequest(identify(request)).toString("hex")
    .slice(0, FINGERPRINT_LENGTH);
}

function createClaim(
  context: EntryContext,
  request: RoutedRequest,
  key: string,
): KeyClaim {
  const options = {
    ownId: context.settings.id,
    directory: context.directory,
    getView: context.getView,
    voteTimeoutMs: context.settings.keys.voteTimeoutMs,
  };
  return KeyClaim.create(options, nameKey(request, key), fingerprint(request));
}

/** Asks the router that holds a key for the outcome; a key that came with another request is refused. */
async function askHolder(
  context: EntryContext,
  request: RoutedRequest,
  record: KeyRecord,
): Promise<Outcome | Failure> {
  if (record.fingerprint !== fingerprint(request)) {
    return Failure.create(
      "key_reused",
      "header idempotency-key: another request had it",
    );
  }
  const waitMs = Math.max(1, request.deadlineAt - readClock());
  const build = (exchange: number) =>
    ({ type: "outcome", exchange, attempt: record.attempt, waitMs }) as const;
  const answer = await context.directory.ask(
    record.holder,
    build,
    "outcome_is",
    waitMs,
  );
  if (!answer || answer.state === "unknown") return { state: "unknown" };
  if (answer.state === "released") return { state: "released" };
  const { status, headers, body } = answer;
  return {
    state: "done",
    answer: { status, headers, body: Buffer.from(body) },
  };
}

function replay(answer: KeptAnswer): KeptAnswer {
  return {
    ...answer,
    headers: { ...answer.headers, "x-beechkeel-replayed": "yes" },
  };
}
