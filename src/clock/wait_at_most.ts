import { setTimeout as delay } from "node:timers/promises";

/** Waits for a promise, but no longer than a time limit.
 * @param waited The promise.
 * @param limitMs The time limit in milliseconds. */
export async function waitAtMost(
  waited: Promise<void>,
  limitMs: number,
): Promise<void> {
  const abort = new AbortController();
  const { signal } = abort;
  const timeout = delay(Math.max(0, limitMs), undefined, { signal });
  await Promise.race([waited, timeout.catch(() => undefined)]);
  abort.abort();
}
