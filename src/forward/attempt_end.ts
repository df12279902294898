import type { AttemptFailure } from "./attempt.ts";

/** How an attempt of a call has ended. */
export type AttemptEnd =
  /** Its response was passed on to the caller. */
  | { type: "answered"; detail: string }
  /** Its upstream stated that it did not run the request. */
  | { type: "declined"; detail: string }
  /** There is no complete response. */
  | { type: "failed"; failure: AttemptFailure; detail: string }
  /** The response can't be passed on: it does not continue the stream that the caller is receiving, or exceeds a
   * limit. */
  | { type: "unusable"; detail: string }
  /** The response is complete, and is an error; callers may receive it unless its status would promise them that the
   * request has not run. */
  | { type: "error"; detail: string; mayBePassedOn: boolean };
