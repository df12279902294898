import type { StopRunResult } from "./stop_run.ts";
import { isRefused, isWhole, type StopStream } from "./stop_stream.ts";

/** Time after a stop's signal until which a host may accept requests that it is likely, not certain, to finish, in
 * milliseconds. */
const LIKELY_WITHIN_MS = 3_000;
/** Fraction of a stop before which nothing may be cut. */
const CUT_AFTER_FRACTION = 5 / 6;
/** Fraction of the requests that would have ended in time that must be served. */
const SERVED_FRACTION = 0.9;
/** Fraction of a stop by which a stream must have ended to count as one that would have ended in time. */
const USABLE_FRACTION = 0.93;

/** Numbers of requests that were sent to a stopping host. */
export interface StopCounts {
  /** Requests sent before callers must have moved elsewhere. */
  early: number;
  earlyWhole: number;
  earlyRefused: number;
  earlyCut: number;
  /** Requests of those before that were cut before the last sixth of the stop. */
  cutTooSoon: number;
  /** Requests of those before that would have ended in time at the usual pace. */
  wouldEnd: number;
  wouldEndWhole: number;
  /** Requests sent later. */
  late: number;
  lateWhole: number;
  lateCut: number;
  /** Requests that were cut, and those of them whose callers had them continued to their end elsewhere. */
  cut: number;
  cutContinued: number;
  /** Cut requests without a log line of the host that names the request. */
  cutUnlogged: number;
}

/** Counts what became of the requests that stopping hosts received.
 * @param result What a run showed.
 * @param stopWithinMs Time that a stop may take, in milliseconds. */
export function countStops(
  { streams, stops, logs }: StopRunResult,
  stopWithinMs: number,
): StopCounts {
  const counts: StopCounts = {
    early: 0,
    earlyWhole: 0,
    earlyRefused: 0,
    earlyCut: 0,
    cutTooSoon: 0,
    wouldEnd: 0,
    wouldEndWhole: 0,
    late: 0,
    lateWhole: 0,
    lateCut: 0,
    cut: 0,
    cutContinued: 0,
    cutUnlogged: 0,
  };
  const wholeOrders = new Set(
    streams.filter(isWhole).map(({ requestId }) => getOrder(requestId)),
  );
  for (const { gateway, at } of stops) {
    const lines = logs.get(gateway) ?? [];
    for (const stream of streams) {
      if (stream.gateway !== gateway) continue;
      const isContinued = wholeOrders.has(getOrder(stream.requestId));
      countStream(counts, stream, at, stopWithinMs, lines, isContinued);
    }
  }
  return counts;
}

function countStream(
  counts: StopCounts,
  stream: StopStream,
  stopAt: number,
  stopWithinMs: number,
  lines: readonly string[],
  isContinued: boolean,
): void {
  const sentMs = stream.sentAt - stopAt;
  const endedMs = (stream.endedAt ?? Infinity) - stopAt;
  if (endedMs < 0 || sentMs > stopWithinMs) return;
  // A connection that the exited process never accepted carries no request that the host has read.
  const wasRead = stream.status !== undefined ||
    lines.some((line) => line.includes(stream.requestId));
  const isCut = stream.isCut && wasRead;
  if (isCut) counts.cut += 1;
  if (isCut && isContinued) counts.cutContinued += 1;
  if (isCut && !isCutLogged(lines, stream)) counts.cutUnlogged += 1;
  if (sentMs > LIKELY_WITHIN_MS) {
    counts.late += 1;
    if (isWhole(stream)) counts.lateWhole += 1;
    if (isCut) counts.lateCut += 1;
    return;
  }
  if (isCut && endedMs < CUT_AFTER_FRACTION * stopWithinMs) {
    counts.cutTooSoon += 1;
  }
  if (isCut) counts.earlyCut += 1;
  if (sentMs < 0) return;
  counts.early += 1;
  if (isWhole(stream)) counts.earlyWhole += 1;
  if (isRefused(stream)) counts.earlyRefused += 1;
  const endsMs = sentMs + stream.events * stream.pauseMs;
  if (endsMs > USABLE_FRACTION * stopWithinMs) return;
  counts.wouldEnd += 1;
  if (isWhole(stream)) counts.wouldEndWhole += 1;
}

/** Name of the stream that a request is for; all attempts of its caller share it. */
function getOrder(requestId: string): string {
  return requestId.slice(0, requestId.lastIndexOf("-"));
}

function isCutLogged(
  lines: readonly string[],
  { requestId }: StopStream,
): boolean {
  return lines.some((line) =>
    line.includes(`request=${requestId} `) && line.includes("call_unfinished")
  );
}

/** Finds what a host must not do when it stops.
 * @param counts What became of the requests. */
export function findStopBreaches(counts: StopCounts): string[] {
  const { lateCut, cutTooSoon, wouldEnd, wouldEndWhole, cutUnlogged } = counts;
  const breaches = [
    lateCut > 0 && `${lateCut} requests that came late were cut`,
    cutTooSoon > 0 && `${cutTooSoon} requests were cut too soon`,
    wouldEndWhole < SERVED_FRACTION * wouldEnd &&
    `${wouldEndWhole} of ${wouldEnd} that would have ended in time were served`,
    cutUnlogged > 0 && `${cutUnlogged} cut requests are not in the log`,
  ];
  return breaches.filter((breach) => breach !== false);
}
