import TinyQueue from "tinyqueue";
import type { StopTimer, Timeline } from "../../src/clock/timeline.ts";

interface Timer {
  at: number;
  /** Order among timers of the same moment. */
  number: number;
  action: () => void;
  isStopped: boolean;
}

function compareTimers(one: Timer, other: Timer): number {
  return one.at - other.at || one.number - other.number;
}

/** Time that passes only as a test lets it. */
export class VirtualTimeline implements Timeline {
  private readonly timers = new TinyQueue<Timer>([], compareTimers);
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
    const timer = {
      at: this.now + delayMs,
      number: this.count,
      action,
      isStopped: false,
    };
    this.timers.push(timer);
    return () => void (timer.isStopped = true);
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
    while ((this.timers.peek()?.at ?? Infinity) <= until) {
      const next = this.timers.pop()!;
      if (next.isStopped) continue;
      this.now = next.at;
      next.action();
    }
    this.now = until;
  }
}
