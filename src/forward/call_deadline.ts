import { readClock } from "../clock/clock.ts";
import type { RoutedCall } from "./routed_call.ts";

/** The moment at which a call's time is over: the caller's own, or that of its route where that comes sooner. */
export class CallDeadline {
  private timer: NodeJS.Timeout | undefined;
  private timeoutMs: number;

  private constructor(
    private readonly call: RoutedCall,
    private readonly onOver: () => void,
  ) {
    this.timeoutMs = call.route.timeoutMs;
    this.arm();
  }

  /** Creates a deadline.
   * @param call The call.
   * @param onOver Told once when its time is over. */
  static create(call: RoutedCall, onOver: () => void): CallDeadline {
    return new CallDeadline(call, onOver);
  }

  /** Time that is left, in milliseconds. */
  get remainingMs(): number {
    const { receivedAt, callerEndsAt } = this.call;
    const endsAt = Math.min(callerEndsAt, receivedAt + this.timeoutMs);
    return endsAt - readClock();
  }

  /** Takes over a changed time-out of the route.
   * @param timeoutMs The time-out in milliseconds. */
  change(timeoutMs: number): void {
    if (timeoutMs === this.timeoutMs) return;
    this.timeoutMs = timeoutMs;
    this.arm();
  }

  /** Stops waiting. */
  close(): void {
    clearTimeout(this.timer);
  }

  private arm(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(this.onOver, Math.max(0, this.remainingMs));
  }
}
