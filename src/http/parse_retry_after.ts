/** Value of a header as the HTTP client returns it: an array if the header occurs several times. */
export type HeaderValue = string | string[] | undefined;

/** Format of a `Retry-After` in seconds; fractions are allowed. */
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;

/** Start of an HTTP date: its day of the week. `Date.parse` also accepts other texts. */
const DATE_PATTERN = /^[A-Z][a-z]+,? /;

/** Returns the delay requested by a response's `Retry-After` header in milliseconds, or undefined if it requests
 * none. Of several values the longest delay applies. A date is taken relative to the response's own `Date`, so that
 * the clocks of the two machines need not agree.
 * @param retryAfter Value of the `Retry-After` header.
 * @param date Value of the `Date` header. */
export function parseRetryAfter(
  retryAfter: HeaderValue,
  date: HeaderValue,
): number | undefined {
  const sentAtMs = Date.parse([date ?? ""].flat()[0] ?? "");
  const delaysMs = [retryAfter ?? []].flat()
    .map((value) => readDelayMs(value.trim(), sentAtMs))
    .filter((delayMs) => delayMs > 0);
  return delaysMs.length === 0 ? undefined : Math.max(...delaysMs);
}

/** Returns the delay requested by one value in milliseconds; 0 or less if it requests none or is malformed. */
function readDelayMs(value: string, sentAtMs: number): number {
  if (SECONDS_PATTERN.test(value)) return Number(value) * 1_000;
  const untilMs = DATE_PATTERN.test(value) ? Date.parse(value) : NaN;
  return Number.isNaN(untilMs) || Number.isNaN(sentAtMs)
    ? 0
    : untilMs - sentAtMs;
}
