import {
  decideAtStop,
  getUsableMs,
  type StopDecision,
} from "../../src/admission/decide_at_stop.ts";
import { DurationDistribution } from "../../src/admission/duration_distribution.ts";
import { StreamPace } from "../../src/forward/stream_pace.ts";
import { CALLERS_LEAVE_WITHIN_MS } from "../../src/gateway/graceful_stop.ts";
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
/** Number of the latest events of a stream from which its pace is known here. */
const MAX_EVENTS = 30;
/** Number of the latest open streams from which the pace of a host is known here. */
const MAX_STREAMS = 15;
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

/** A stream that has not ended. */
interface OpenStream {
  plan: PlannedStream;
  beganMs: number;
  /** Times of its events, in milliseconds since the start of the stop. */
  eventsMs: readonly number[];
}

/** Plays the traffic of one stopping host in virtual time. Durations, hints and their changes are those of the soak.
 * @param options Options of the stop. */
export function playVirtualStop(
  options: VirtualStopOptions,
): VirtualStopRequest[] {
  const {
    seed,
    durations,
    hasHistory = true,
    mayRunAgain = true,
    hasOtherHost = true,
  } = options;
  const random = Random.create(seed);
  const { plan, getPaceFactor } = STREAM_DURATIONS[durations]!;
  const distribution = DurationDistribution.create();
  let open: OpenStream[] = [];
  const requests: VirtualStopRequest[] = [];
  const startMs = hasHistory ? -BEFORE_STOP_MS : 0;
  for (let now = startMs; now < LIMIT_MS; now += REQUEST_PAUSE_MS) {
    for (const stream of open) {
      if (getEndMs(stream) <= now) recordEnd(distribution, stream);
    }
    open = open.filter((stream) => getEndMs(stream) > now);
    const planned = plan(random);
    const stream = begin(now, planned, getPaceFactor);
    const decision = now < 0 ? "certain" : decideAtStop({
      elapsedMs: now,
      limitMs: LIMIT_MS,
      callersLeaveWithinMs: CALLERS_LEAVE_WITHIN_MS,
      deadlineMs: DEADLINE_MS,
      endProbability: distribution.getEndProbability(
        KIND,
        {
          deadlineMs: DEADLINE_MS,
          lengthHint: planned.lengthHint,
          paceRatio: getPaceFactor ? getPaceRatio(open, now) : 1,
        },
        getUsableMs(now, LIMIT_MS),
      ),
      mayRunAgain,
      hasOtherHost,
    });
    if (decision !== "refused") open.push(stream);
    if (now < 0) continue;
    requests.push({ sentMs: now, decision, endsMs: getEndMs(stream) });
  }
  return requests;
}

/** Begins a stream, whose pauses have the pace of the moment at which they begin. */
function begin(
  beganMs: number,
  plan: PlannedStream,
  getPaceFactor: ((sinceStopMs: number) => number) | undefined,
): OpenStream {
  const eventsMs: number[] = [];
  let at = beganMs;
  for (let event = 0; event < plan.events; event++) {
    at += plan.pauseMs * (getPaceFactor?.(at) ?? 1);
    eventsMs.push(at);
  }
  return { plan, beganMs, eventsMs };
}

function getEndMs({ eventsMs }: OpenStream): number {
  return eventsMs.at(-1)!;
}

function recordEnd(
  distribution: DurationDistribution,
  stream: OpenStream,
): void {
  const { plan, beganMs, eventsMs } = stream;
  const pauses = plan.events - 1;
  distribution.record(KIND, {
    durationMs: getEndMs(stream) - beganMs,
    lengthHint: plan.lengthHint,
    pauses,
    pauseMs: (getEndMs(stream) - eventsMs[0]!) / pauses,
  });
}

/** Returns the median pace of the open streams relative to their usual one, as a host knows it. */
function getPaceRatio(
  open: readonly OpenStream[],
  now: number,
): number | undefined {
  const ratios: number[] = [];
  for (const { eventsMs } of open.slice(-MAX_STREAMS)) {
    const pace = StreamPace.create();
    const arrived = eventsMs.filter((at) => at <= now);
    for (const at of arrived.slice(-MAX_EVENTS)) pace.recordEvents(1, at);
    const ratio = pace.getPaceRatio(now);
    if (ratio !== undefined) ratios.push(ratio);
  }
  return ratios.sort((a, b) => a - b)[Math.floor(ratios.length / 2)];
}
