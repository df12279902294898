import { getOrCreateLruEntry } from "./lru_entry.ts";

/** Maximum number of tracked kinds. Bounded because kinds come and go with each configuration. */
const MAX_TRACKED_KINDS = 2_000;
/** Number of the latest calls of a kind that are kept. */
const MAX_SAMPLES = 64;
/** Weight of a call relative to the one after it. */
const AGE_FACTOR = 0.98;
/** Weights of the calls from the latest to the oldest. */
const AGE_WEIGHTS = Array.from(
  { length: MAX_SAMPLES },
  (_, age) => AGE_FACTOR ** age,
);
/** Difference of the logarithms of two length hints from which a call says little about another. */
const HINT_DISTANCE = 0.6;
/** Least weight of a call with another length hint, because hints are often far off. */
const MIN_HINT_WEIGHT = 0.05;
/** Weight of the assumption that a call ends at any time before its deadline, relative to one completed call. */
const PRIOR_WEIGHT = 1;

/** A call that was answered. */
export interface CompletedCall {
  /** Time from its arrival to the end of its response, in milliseconds. */
  durationMs: number;
  /** Length of the response that its caller expected; undefined if unknown. */
  lengthHint?: number;
  /** Number of pauses between the events of its stream; 0 if it was no stream. */
  pauses?: number;
  /** Mean length of these pauses, in milliseconds; undefined if there were none. */
  pauseMs?: number;
}

/** A call whose duration is estimated. */
export interface ExpectedCall {
  /** Time until its deadline, in milliseconds. */
  deadlineMs: number;
  /** Length of the response that its caller expects; undefined if unknown. */
  lengthHint?: number;
  /** Length of the pauses between events of streams now, relative to their usual length; undefined if unknown. */
  paceRatio?: number;
}

/** The durations of the calls of each kind, from those that were answered lately. */
export class DurationDistribution {
  private readonly samples = new Map<string, CompletedCall[]>();

  private constructor() {}

  /** Creates a distribution without samples. */
  static create(): DurationDistribution {
    return new DurationDistribution();
  }

  /** Records an answered call.
   * @param kind Kind of the call, such as the name of its route.
   * @param call The call. */
  record(kind: string, call: CompletedCall): void {
    const samples = getOrCreateLruEntry(
      this.samples,
      kind,
      () => [],
      MAX_TRACKED_KINDS,
    );
    samples.push(call);
    if (samples.length > MAX_SAMPLES) samples.shift();
  }

  /** Returns the probability that a call ends within a time, from the calls of its kind with similar length hints, at the
   * current pace of streams; undefined if none was answered.
   * @param kind Kind of the call.
   * @param call The call.
   * @param withinMs The time, in milliseconds. */
  getEndProbability(
    kind: string,
    call: ExpectedCall,
    withinMs: number,
  ): number | undefined {
    const samples = this.samples.get(kind);
    if (!samples) return undefined;
    let weightSum = PRIOR_WEIGHT;
    let endingSum = PRIOR_WEIGHT * Math.min(1, withinMs / call.deadlineMs);
    for (let age = 0; age < samples.length; age++) {
      const sample = samples[samples.length - 1 - age]!;
      const weight = AGE_WEIGHTS[age]! * getHintWeight(sample, call);
      weightSum += weight;
      if (scaleDuration(sample, call) <= withinMs) endingSum += weight;
    }
    return endingSum / weightSum;
  }
}

/** Returns how much a completed call tells of one with another length hint, from 0 to 1. */
function getHintWeight(
  { lengthHint: completed }: CompletedCall,
  { lengthHint: expected }: ExpectedCall,
): number {
  if (!completed || !expected) return 1;
  const distance = Math.log(expected / completed) / HINT_DISTANCE;
  return Math.max(MIN_HINT_WEIGHT, Math.exp(-(distance ** 2) / 2));
}

/** Returns how long a completed call would take at the current pace, in milliseconds. */
function scaleDuration(
  { durationMs, pauses = 0, pauseMs = 0 }: CompletedCall,
  { paceRatio = 1 }: ExpectedCall,
): number {
  return durationMs + pauses * pauseMs * (paceRatio - 1);
}
