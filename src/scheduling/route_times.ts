import { LinearEstimate } from "./linear_estimate.ts";
import type { RequestWork } from "./request_work.ts";

/** Tokens of one unit of the prefill and fetch features. */
const TOKENS_PER_UNIT = 1_000;
/** Index of the prefill feature. */
const PREFILL_FEATURE = 2;
/** Assumed coefficients of the time to the first event, in milliseconds: of an idle upstream, of a full one, of a
 * thousand prefilled and of a thousand fetched tokens, and of another hall. */
const FIRST_EVENT_PRIORS = [
  { mean: 40, deviation: 200 },
  { mean: 20, deviation: 40 },
  { mean: 21, deviation: 15 },
  { mean: 5, deviation: 10 },
  { mean: 3, deviation: 5 },
];
/** Assumed coefficients of the time between two events, in milliseconds: of an idle upstream and of a full one. */
const GAP_PRIORS = [{ mean: 10, deviation: 50 }, { mean: 5, deviation: 20 }];
/** Assumed errors before any response, in milliseconds. */
const INITIAL_ERROR_MS = 30;
const INITIAL_GAP_ERROR_MS = 10;
/** Weight of the latest stream in the mean number of events. */
const EVENTS_WEIGHT = 0.05;
/** Number of events from which the mean gap of a stream shows how fast its upstream is. */
const MIN_EVENTS = 4;

/** Times of a stream after its first event. */
export interface StreamRemainder {
  /** Number of events after the first. */
  events: number;
  durationMs: number;
}

/** Learned times of the requests of one route at an upstream of usual speed. */
export class RouteTimes {
  private readonly firstEvent = LinearEstimate.create(
    FIRST_EVENT_PRIORS,
    INITIAL_ERROR_MS,
  );
  private readonly gap = LinearEstimate.create(
    GAP_PRIORS,
    INITIAL_GAP_ERROR_MS,
  );
  private meanEvents: number | undefined;
  private error = INITIAL_ERROR_MS;

  private constructor() {}

  /** Creates times without responses. */
  static create(): RouteTimes {
    return new RouteTimes();
  }

  /** Mean absolute error of the estimates that were made, in milliseconds. */
  get errorMs(): number {
    return this.error;
  }

  /** Learned prefill time of a token in milliseconds, and the variance of that figure. */
  get prefill(): { msPerToken: number; variance: number } {
    return {
      msPerToken: this.firstEvent.getCoefficient(PREFILL_FEATURE) /
        TOKENS_PER_UNIT,
      variance: this.firstEvent.getVariance(PREFILL_FEATURE),
    };
  }

  /** Returns the time to the first event without waiting, in milliseconds.
   * @param work The request.
   * @param load Requests on the upstream per slot. */
  getFirstEventMs(work: RequestWork, load: number): number {
    return this.firstEvent.predict(toFeatures(work, load));
  }

  /** Returns the time from the first event to the end, in milliseconds.
   * @param load Requests on the upstream per slot. */
  getRemainderMs(load: number): number {
    return (this.meanEvents ?? 0) * this.gap.predict([1, load]);
  }

  /** Records the time to a first event.
   * @param work The request.
   * @param load Requests on the upstream per slot, as known when it was sent.
   * @param durationMs The time without waiting, at the usual speed, in milliseconds. */
  recordFirstEvent(work: RequestWork, load: number, durationMs: number): void {
    this.firstEvent.update(toFeatures(work, load), durationMs);
  }

  /** Records what follows the first event of a stream; returns the usual duration of it, or undefined if the stream is
   * too short to tell.
   * @param remainder Number of events and duration.
   * @param load Requests on the upstream per slot, as known when it was sent.
   * @param factor Time of a unit of work on that upstream relative to the usual time. */
  recordRemainder(
    { events, durationMs }: StreamRemainder,
    load: number,
    factor: number,
  ): number | undefined {
    this.meanEvents ??= events;
    this.meanEvents += EVENTS_WEIGHT * (events - this.meanEvents);
    if (events < MIN_EVENTS) return undefined;
    this.gap.update([1, load], durationMs / events / factor);
    return events * this.gap.predict([1, load]);
  }

  /** Records by how much an estimate of the time to the first event was wrong.
   * @param differenceMs The difference in milliseconds. */
  recordError(differenceMs: number): void {
    this.error += EVENTS_WEIGHT * (Math.abs(differenceMs) - this.error);
  }
}

function toFeatures(
  { prefillTokens, fetchTokens = 0, isOtherHall = false }: RequestWork,
  load: number,
): number[] {
  return [
    1,
    load,
    prefillTokens / TOKENS_PER_UNIT,
    fetchTokens / TOKENS_PER_UNIT,
    Number(isOtherHall),
  ];
}
