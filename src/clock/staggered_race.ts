import type { Timeline } from "./timeline.ts";

/** Options of a {@link StaggeredRace}. */
export interface StaggeredRaceOptions<Result> {
  /** Returns the next attempt, chosen when it is about to start; undefined if there is none. */
  getNextAttempt: () => (() => Promise<Result>) | undefined;
  /** Time after the start of an attempt until the next one starts, in milliseconds; it starts at once if one fails. */
  staggerMs: number;
  /** Time after which the race fails, in milliseconds. */
  timeoutMs: number;
  /** Creates the error of a race that fails because of the time, or because there is no attempt. */
  createTimeoutError: () => Error;
  /** Called with each result after the first. */
  onLateResult: (result: Result) => void;
  timeline: Timeline;
}

/** Starts attempts one after the other until the first of them succeeds. */
export class StaggeredRace<Result> {
  private running = 0;
  private isSettled = false;
  private cancelStagger: () => void = () => undefined;
  private cancelTimeout: () => void = () => undefined;

  private constructor(
    private readonly options: StaggeredRaceOptions<Result>,
    private readonly resolve: (result: Result) => void,
    private readonly reject: (error: unknown) => void,
  ) {}

  /** Runs a race and resolves with the first result.
   * @param options The attempts and their timing.
   * @throws The error of the last attempt if all fail, or the timeout error. */
  static run<Result>(options: StaggeredRaceOptions<Result>): Promise<Result> {
    return new Promise((resolve, reject) =>
      new StaggeredRace(options, resolve, reject).start()
    );
  }

  private start(): void {
    const { timeline, timeoutMs } = this.options;
    this.cancelTimeout = timeline.after(timeoutMs, () => this.expire());
    this.startNext();
    if (this.running === 0) this.expire();
  }

  private startNext(): void {
    this.cancelStagger();
    if (this.isSettled) return;
    const { getNextAttempt, staggerMs, timeline } = this.options;
    const attempt = getNextAttempt();
    if (!attempt) return;
    this.running += 1;
    this.cancelStagger = timeline.after(staggerMs, () => this.startNext());
    attempt().then(
      (result) => this.handleResult(result),
      (error) => this.handleError(error),
    );
  }

  private handleResult(result: Result): void {
    if (this.isSettled) return this.options.onLateResult(result);
    this.settle();
    this.resolve(result);
  }

  private handleError(error: unknown): void {
    this.running -= 1;
    if (this.isSettled) return;
    this.startNext();
    if (this.running > 0) return;
    this.settle();
    this.reject(error);
  }

  private expire(): void {
    this.settle();
    this.reject(this.options.createTimeoutError());
  }

  private settle(): void {
    this.isSettled = true;
    this.cancelStagger();
    this.cancelTimeout();
  }
}
