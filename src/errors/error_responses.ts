import type { ErrorKind } from "./error_kind.ts";

/** Whether a failed request was executed by an upstream. */
export type ExecutionStatus = "no" | "unknown";

/** Error response for one error kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  status: number;
  /** Human-readable message of one sentence. */
  message: string;
  /** `no` guarantees that the request was not executed and will not be. */
  ran: ExecutionStatus;
  /** Value of `Retry-After` in seconds, if a retry makes sense. */
  retryAfterSeconds?: number;
}

/** Error response for each error kind; every error that the system returns is listed here. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  malformed_request: {
    status: 400,
    message: "The request is not well formed.",
    ran: "no",
  },
  request_too_large: {
    status: 413,
    message: "The body exceeds the limit.",
    ran: "no",
  },
  headers_too_large: {
    status: 431,
    message: "The headers exceed the limit.",
    ran: "no",
  },
  caller_too_slow: {
    status: 408,
    message: "The request did not arrive in time.",
    ran: "no",
  },
  not_found: { status: 404, message: "No such path.", ran: "no" },
  method_not_allowed: {
    status: 405,
    message: "The path does not take this method.",
    ran: "no",
  },
  unknown_customer: {
    status: 403,
    message: "No accepted document names this customer.",
    ran: "no",
  },
  unknown_model: {
    status: 404,
    message: "The customer has no such model or adapter.",
    ran: "no",
  },
  unknown_service: {
    status: 404,
    message: "The customer has no such service.",
    ran: "no",
  },
  unknown_key: {
    status: 401,
    message: "No customer holds this key.",
    ran: "no",
  },
  key_reused: {
    status: 422,
    message: "The idempotency key was used before with another request.",
    ran: "no",
  },
  too_many_requests: {
    status: 429,
    message: "The customer's share of the queue is full.",
    ran: "no",
    retryAfterSeconds: 1,
  },
  overloaded: {
    status: 503,
    message: "Every upstream that could serve this is full.",
    ran: "no",
    retryAfterSeconds: 1,
  },
  no_upstream: {
    status: 503,
    message: "No upstream for this request can be reached.",
    ran: "no",
    retryAfterSeconds: 2,
  },
  crashes_upstreams: {
    status: 503,
    message:
      "This request was under way on several upstreams when they crashed; it was not run.",
    ran: "no",
    retryAfterSeconds: 30,
  },
  prompt_crashes_upstreams: {
    status: 503,
    message:
      "Part of this prompt was under way on several upstreams when they crashed; the request was not run.",
    ran: "no",
  },
  starting: {
    status: 503,
    message: "The router has no configuration yet.",
    ran: "no",
    retryAfterSeconds: 1,
  },
  belief_too_old: {
    status: 503,
    message:
      "The host has not heard of changes for too long to forward requests.",
    ran: "no",
    retryAfterSeconds: 0.2,
  },
  draining: {
    status: 503,
    message: "The router is stopping; ask for another address.",
    ran: "no",
    retryAfterSeconds: 1,
  },
  deadline_exceeded: {
    status: 504,
    message: "The time allowed ended before the request was run.",
    ran: "no",
    retryAfterSeconds: 1,
  },
  key_unconfirmed: {
    status: 503,
    message:
      "This attempt was not run, and whether an earlier one with its key was cannot be confirmed now.",
    ran: "unknown",
    retryAfterSeconds: 2,
  },
  outcome_unknown: {
    status: 502,
    message:
      "The request may have run and will not be run again under this key.",
    ran: "unknown",
  },
  timed_out: {
    status: 504,
    message:
      "The time allowed ended while an upstream may have been at work; the request may be repeated.",
    ran: "unknown",
    retryAfterSeconds: 1,
  },
  upstream_failed: {
    status: 502,
    message: "The upstream failed and the retries are used up.",
    ran: "unknown",
    retryAfterSeconds: 1,
  },
  stream_broken: {
    status: 502,
    message: "The answer broke off; what was received is not whole.",
    ran: "unknown",
    retryAfterSeconds: 1,
  },
  stream_unresumable: {
    status: 503,
    message:
      "This stream cannot continue; the request was not run and can be sent as a new one.",
    ran: "no",
  },
  internal: {
    status: 500,
    message: "The router failed on this request.",
    ran: "unknown",
  },
};
