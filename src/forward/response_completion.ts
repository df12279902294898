import type { HealthSignal } from "../upstreams/upstream_health.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import type { AttemptOutcomes } from "./attempt_outcomes.ts";
import type { AttemptResponse, ResponseHead } from "./attempt_response.ts";
import type { ResponseRelay } from "./response_relay.ts";
import { isFailureStatus, isNotRunStatus } from "./response_status.ts";

/** An attempt whose response has ended. */
export interface EndedResponse {
  response: AttemptResponse;
  outcomes: AttemptOutcomes;
  /** Time since the request was sent, in milliseconds. */
  elapsedMs: number;
  /** What a success shows about the health of the upstream. */
  signal: HealthSignal;
}

/** Records a response that has ended, passes it on to the caller if it is sound, and returns how its attempt ended. A
 * complete error response is not passed on; an incomplete response is not recorded.
 * @param ended The attempt.
 * @param relay Passes the response on. */
export function completeResponse(
  ended: EndedResponse,
  relay: ResponseRelay,
): AttemptEnd {
  const { response } = ended;
  const { head } = response;
  if (!head) return breaks("an end without a head");
  return response.isStream
    ? completeStream(ended, relay)
    : completeBuffered(ended, head, relay);
}

function breaks(detail: string): AttemptEnd {
  return { type: "failed", failure: "broken", detail };
}

function completeStream(
  { response, outcomes, elapsedMs, signal }: EndedResponse,
  relay: ResponseRelay,
): AttemptEnd {
  if (response.hasIncompleteEvent) {
    return breaks("the stream ended within an event");
  }
  outcomes.recordSuccess(signal);
  outcomes.recordCompletion(elapsedMs, response.hasPartialResponse);
  outcomes.recordTimes(elapsedMs, response.eventsForwarded);
  relay.endStream(response);
  return { type: "answered", detail: `${relay.eventsForwarded} events` };
}

function completeBuffered(
  { response, outcomes, elapsedMs, signal }: EndedResponse,
  { status, headers }: ResponseHead,
  relay: ResponseRelay,
): AttemptEnd {
  outcomes.recordCompletion(elapsedMs, false);
  if (isFailureStatus(status)) {
    outcomes.recordError(headers);
    // Callers read these statuses as a promise that the request has not run, which the upstream did not state.
    const mayBePassedOn = !isNotRunStatus(status);
    return { type: "error", detail: `answered with ${status}`, mayBePassedOn };
  }
  outcomes.recordSuccess(signal);
  outcomes.recordTimes(elapsedMs, 0);
  relay.sendComplete(response);
  return { type: "answered", detail: `status ${status}` };
}
