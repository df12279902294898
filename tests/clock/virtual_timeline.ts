import TinyQueue from "tinyqueue";
import type { CancelTimer, Timeline } from "../../src/clock/timeline.ts";

interface Timer {
  at: number;
  /** Orders timers that are due at the same time. */
  sequence: number;
  action: () => void;
  isStopped: boolean;
}

function compareTimers(one: Timer, other: Timer): number {
  return one.at - other.at || one.sequence - other.sequence;
}

/** Timeline whose time advances only when a test advances it. */
export class VirtualTimeline implements Timeline {
  private readonly timers = new TinyQueue<Timer>([], compareTimers);
  private now = 0;
  private timerCount = 0;

  private constructor() {}

  /** Creates a timeline at 0. */
  static create(): VirtualTimeline {
    return new VirtualTimeline();
  }

  read(): number {
    return this.now;
  }

  after(delayMs: number, action: () => void): CancelTimer {
    this.timerCount += 1;
    const timer = {
      at: this.now + delayMs,
      sequence: this.timerCount,
      action,
      isStopped: false,
    };
    this.timers.push(timer);
    return () => void (timer.isStopped = true);
  }

  every(intervalMs: number, action: () => void): CancelTimer {
    let stop: CancelTimer;
    const runAndReschedule = () => {
      stop = this.after(intervalMs, runAndReschedule);
      action();
    };
    stop = this.after(intervalMs, runAndReschedule);
    return () => stop();
  }

  /** Advances the time and runs the timers that come due, in order.
   * @param until Time to advance to, in milliseconds. */
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
