/** Values of one header, as the client gives them: an array where the header came several times. */
export type HeaderValue = string | string[] | undefined;

/** Form of a `Retry-After` in seconds, fractions included. */
const SECONDS = /^\d+(\.\d+)?$/;

/** Reads the time that an answer's `Retry-After` asks for, in milliseconds; undefined where it asks for none. Of several the
 * longest counts. A date counts from the answer's own `Date`, so that the clocks of two machines need not agree.
 * @param retryAfter The header's values.
 * @param date The answer's `Date`. */
export function readRetryAfter(
  retryAfter: HeaderValue,
  date: HeaderValue,
): number | undefined {
  const sentAt = Date.parse([date ?? ""].flat()[0] ?? "");
  const times = [retryAfter ?? []].flat()
    .map((value) => readTime(value.trim(), sentAt))
    .filter((time) => time > 0);
  return times.length === 0 ? undefined : Math.max(...times);
}

/** Milliseconds that one value asks for; not above 0 where it asks for none or can't be read. */
function readTime(value: string, sentAt: number): number {
  if (SECONDS.test(value)) return Number(value) * 1_000;
  const until = Date.parse(value);
  return Number.isNaN(until) || Number.isNaN(sentAt) ? 0 : until - sentAt;
}
