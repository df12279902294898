import type { ErrorKind } from "../errors/error_kind.ts";
import type { TrackedRequest } from "./interrupted_request.ts";

/** A hold that has begun or was extended. */
export interface RequestHold {
  /** Error kind of the refusals of requests that were certainly not run. */
  readonly kind: ErrorKind;
  /** Whether a request is held. */
  readonly concerns: (request: TrackedRequest) => boolean;
}
