import {
  decideAtStop,
  getUsableMs,
  type StopDecision,
} from "../../src/admission/decide_at_stop.ts";
import { DurationDistribution } from "../../src/admission/duration_distribution.ts";
import { Random } from "../../src/random/random.ts";
import {
  type PlannedStream,
  STREAM_DURATIONS,
} from "../../soak/stream_durations.ts";

/** Time that a stop may take, and time until the deadline of each request, in milliseconds. */
export const LIMIT_MS = 8_000;
const DEADLINE_MS = 12_000;
/** Time of traffic before the stop, and pause between two requests, in milliseconds. */
const BEFORE_STOP_MS = 6_000;
const REQUEST_PAUSE_MS = 40;
/** Name of the only kind of request. */
const KIND = "chat";

/** A request that arrived during a virtual stop. */
export interface VirtualStopRequest {
  /** Time of its arrival since the start of the stop, in milliseconds. */
  sentMs: number;
  decision: StopDecision;
  /** Time at which its response would end, in milliseconds since the start of the stop. */
  endsMs: number;
}

/** Options of a virtual stop. */
export interface VirtualStopOptions {
  seed: number;
  /** Name of the distribution of the streams' durations. */
  durations: string;
  /** Whether requests were answered before the stop. */
  hasHistory?: boolean;
  mayRunAgain?: boolean;
  hasOtherHost?: boolean;
}

/** Plays the traffic of one stopping host in virtual time. Durations, hints and their changes are those of the soak.
 * @param options Options of the stop. */
export function playVirtualStop(
  {
    seed,
    durations,
    hasHistory = true,
    mayRunAgain = true,
    hasOtherHost = true,
  }: VirtualStopOptions,
): VirtualStopRequest[] {
  const random = Random.create(seed);
  const { plan, getPaceFactor } = STREAM_DURATIONS[durations]!;
  const distribution = DurationDistribution.create();
  const open: { endsMs: number; durationMs: number; plan: PlannedStream }[] =
    [];
  const requests: VirtualStopRequest[] = [];
  const startMs = hasHistory ? -BEFORE_STOP_MS : 0;
  for (let now = startMs; now < LIMIT_MS; now += REQUEST_PAUSE_MS) {
    for (const call of open.filter(({ endsMs }) => endsMs <= now)) {
      open.splice(open.indexOf(call), 1);
      const { events, lengthHint } = call.plan;
      const { durationMs } = call;
      distribution.record(KIND, {
        durationMs,
        sizeHint: lengthHint,
        pauses: events - 1,
        pauseMs: durationMs / events,
      });
    }
    const planned = plan(random);
    const factor = getPaceFactor?.(now) ?? 1;
    const endsMs = getEnd(now, planned, getPaceFactor);
    const durationMs = endsMs - now;
    if (now < 0) {
      open.push({ endsMs, durationMs, plan: planned });
      continue;
    }
    const pauseMs = open.length > 0
      ? open[Math.floor(open.length / 2)]!.plan.pauseMs * factor
      : undefined;
    const endProbability = distribution.getEndProbability(
      KIND,
      { deadlineMs: DEADLINE_MS, sizeHint: planned.lengthHint, pauseMs },
      getUsableMs(now, LIMIT_MS),
    );
    const decision = decideAtStop({
      elapsedMs: now,
      limitMs: LIMIT_MS,
      deadlineMs: DEADLINE_MS,
      endProbability,
      longestMs: distribution.getLongestMs(KIND),
      mayRunAgain,
      hasOtherHost,
    });
    requests.push({ sentMs: now, decision, endsMs });
    if (decision !== "refused") {
      open.push({ endsMs, durationMs, plan: planned });
    }
  }
  return requests;
}

/** Returns when a stream ends that begins now, event by event at the pace of each moment. */
function getEnd(
  now: number,
  { events, pauseMs }: PlannedStream,
  getPaceFactor: ((sinceStopMs: number) => number) | undefined,
): number {
  let at = now;
  for (let event = 0; event < events; event++) {
    at += pauseMs * (getPaceFactor?.(at) ?? 1);
  }
  return at;
}
