/** Status codes that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses of responses without a body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether callers read a status as a promise that the request has not run and never will.
 * @param status Status code. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Whether a status means that an upstream failed to process a request or refused it.
 * @param status Status code. */
export function isFailureStatus(status: number): boolean {
  return status >= 500 || isNotRunStatus(status);
}

/** Whether a response has a body.
 * @param status Its status. */
export function hasBody(status: number): boolean {
  return !BODYLESS_STATUSES.has(status);
}
