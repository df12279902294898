import type { Random } from "../src/random/random.ts";

/** One stream that a caller asks for, at the usual pace. */
export interface PlannedStream {
  /** Number of its events. */
  events: number;
  /** Pause before each event, in milliseconds. */
  pauseMs: number;
  /** Number of tokens that the caller expects; right in the median. */
  lengthHint: number;
}

/** How long the streams of a run last, and how that changes. */
export interface StreamDurations {
  plan: (random: Random) => PlannedStream;
  /** Factor by which pauses are longer, by the time since the first stop began, in milliseconds. */
  getPaceFactor?: (sinceStopMs: number) => number;
  /** Bytes of data in each event. */
  eventBytes?: number;
  /** Fraction of the callers that read slowly. */
  slowReaders?: number;
}

/** Pause before each event of a chat, in milliseconds. */
const PAUSE_MS = 70;
/** Tokens in an event. */
const EVENT_TOKENS = 7;
/** Spread of the logarithm of the error of a length hint. */
const HINT_SPREAD = 0.6;
/** Factor by which work becomes slower during a stop. */
const SLOWDOWN = 4;
/** Time after the start of a stop at which work becomes slower, in milliseconds. */
const LATE_SLOWDOWN_MS = 2_500;

/** Streams whose durations are distributed in different ways, by name. */
export const STREAM_DURATIONS: Readonly<Record<string, StreamDurations>> = {
  constant: { plan: (random) => planLasting(1_000, random) },
  growing_late: {
    plan: (random) => planLasting(random.integer(800, 1_200), random),
    getPaceFactor: (sinceMs) => sinceMs > LATE_SLOWDOWN_MS ? SLOWDOWN : 1,
  },
  growing: {
    plan: (random) => planLasting(random.integer(800, 1_200), random),
    getPaceFactor: (sinceMs) => sinceMs > 0 ? SLOWDOWN : 1,
  },
  bimodal: {
    plan: (random) =>
      planLasting(
        random.integer(1, 16) === 1 ? 6_500 : random.integer(800, 1_200),
        random,
      ),
  },
  even: { plan: (random) => planLasting(random.integer(300, 6_000), random) },
  long: { plan: (random) => planLasting(random.integer(3_000, 7_000), random) },
  long_tailed: {
    plan: (random) => {
      const events = Math.round(29 * drawLogNormal(random, 0.69));
      return planEvents(Math.min(95, Math.max(2, events)), PAUSE_MS, random);
    },
  },
  slow_readers: {
    plan: (random) => planLasting(random.integer(800, 1_200), random),
    eventBytes: 20_000,
    slowReaders: 1 / 3,
  },
};

function planLasting(durationMs: number, random: Random): PlannedStream {
  const events = Math.max(2, Math.round(durationMs / PAUSE_MS));
  return planEvents(events, durationMs / events, random);
}

function planEvents(
  events: number,
  pauseMs: number,
  random: Random,
): PlannedStream {
  const tokens = events * EVENT_TOKENS;
  const lengthHint = Math.round(tokens * drawLogNormal(random, HINT_SPREAD));
  return { events, pauseMs, lengthHint };
}

/** Draws from a log-normal distribution of median 1. */
function drawLogNormal(random: Random, spread: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const angle = 2 * Math.PI * random.fraction();
  return Math.exp(spread * radius * Math.cos(angle));
}
