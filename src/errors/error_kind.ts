/** All error kinds; every response that is not complete and successful has one of them. */
export const ERROR_KINDS = [
  "malformed_request",
  "request_too_large",
  "headers_too_large",
  "caller_too_slow",
  "not_found",
  "method_not_allowed",
  "unknown_customer",
  "unknown_model",
  "unknown_service",
  "unknown_key",
  "key_reused",
  "too_many_requests",
  "overloaded",
  "no_upstream",
  "crashes_upstreams",
  "prompt_crashes_upstreams",
  "starting",
  "belief_too_old",
  "draining",
  "deadline_exceeded",
  "key_unconfirmed",
  "outcome_unknown",
  "timed_out",
  "upstream_failed",
  "stream_broken",
  "stream_unresumable",
  "internal",
] as const;

/** An error kind. */
export type ErrorKind = (typeof ERROR_KINDS)[number];
