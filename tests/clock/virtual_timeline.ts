import type { StopTimer, Timeline } from "../../src/clock/timeline.ts";

interface Timer {
  at: number;
  /** Order among timers of the same moment. */
  number: number;
  action: () => void;
}

/** Time that passes only as a test lets it. */
export class VirtualTimeline implements Timeline {
  private readonly timers = new Set<Timer>();
  private now = 0;
  private count = 0;

  private constructor() {}

  /** Creates a timeline at 0. */
  static create(): VirtualTimeline {
    return new VirtualTimeline();
  }

  read(): number {
    return this.now;
  }

  after(delayMs: number, action: () => void): StopTimer {
    this.count += 1;
    const timer = { at: this.now + delayMs, number: this.count, action };
    this.timers.add(timer);
    return () => void this.timers.delete(timer);
  }

  every(intervalMs: number, action: () => void): StopTimer {
    let stop: StopTimer;
    const repeat = () => {
      stop = this.after(intervalMs, repeat);
      action();
    };
    stop = this.after(intervalMs, repeat);
    return () => stop();
  }

  /** Lets time pass and runs the timers that come due in their order.
   * @param until Milliseconds up to which it passes. */
  runUntil(until: number): void {
    for (let next = this.findNext(until); next; next = this.findNext(until)) {
      this.timers.delete(next);
      this.now = next.at;
      next.action();
    }
    this.now = until;
  }

  private findNext(until: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.timers) {
      if (timer.at > until) continue;
      const isSooner = !next || timer.at < next.at ||
        (timer.at === next.at && timer.number < next.number);
      if (isSooner) next = timer;
    }
    return next;
  }
}
