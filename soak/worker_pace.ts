import type { Random } from "../src/random/random.ts";

/** Factors by which work takes longer on a worker all the time; one is drawn for each worker. */
const USUAL_FACTORS = [1, 1, 1.5, 2.5] as const;
/** Factor by which work takes longer while other work on its machine slows a worker. */
const SLOWDOWN_FACTOR = 2.5;
/** Duration of a slowdown, in milliseconds. */
const SLOWDOWN_MS = 600;
/** Range of the time between two slowdowns, in milliseconds. */
const SLOWDOWN_GAP_RANGE_MS = [600, 5_000] as const;
/** Factor by which work takes longer on a worker that has just started. */
const START_FACTOR = 4;
/** Time until a worker that started slowly has its usual speed, in milliseconds. */
const START_MS = 2_000;

/** Speed of a worker on a machine that it shares with other work. */
export class WorkerPace {
  private readonly usualFactor: number;
  private slowdownAt: number;

  private constructor(
    private readonly random: Random,
    private readonly startedAt: number,
    private readonly startsSlowly: boolean,
  ) {
    this.usualFactor = random.pick(USUAL_FACTORS);
    this.slowdownAt = startedAt + random.integer(...SLOWDOWN_GAP_RANGE_MS);
  }

  /** Creates the pace of a worker.
   * @param random Source of randomness that nothing else draws from.
   * @param startedAt Start of the worker in monotonic milliseconds.
   * @param startsSlowly Whether the worker is slower at first. */
  static create(
    random: Random,
    startedAt: number,
    startsSlowly: boolean,
  ): WorkerPace {
    return new WorkerPace(random, startedAt, startsSlowly);
  }

  /** Returns the factor by which work takes longer than usual at a moment, as the worker reports it.
   * @param now Monotonic milliseconds; never less than in the previous call. */
  getSlowdown(now: number): number {
    while (now >= this.slowdownAt + SLOWDOWN_MS) {
      this.slowdownAt += SLOWDOWN_MS +
        this.random.integer(...SLOWDOWN_GAP_RANGE_MS);
    }
    return now >= this.slowdownAt ? SLOWDOWN_FACTOR : 1;
  }

  /** Returns the factor by which work takes longer than on the fastest worker.
   * @param now Monotonic milliseconds; never less than in the previous call. */
  getWorkFactor(now: number): number {
    const isStarting = this.startsSlowly && now < this.startedAt + START_MS;
    return this.usualFactor * (isStarting ? START_FACTOR : 1) *
      this.getSlowdown(now);
  }
}
