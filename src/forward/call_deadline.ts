import { readClock } from "../clock/clock.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Deadline of a call: the caller's deadline or the timeout of its route, whichever comes first. */
export class CallDeadline {
  private timer: NodeJS.Timeout | undefined;
  private timeoutMs: number;

  private constructor(
    private readonly call: RoutedCall,
    private readonly onExpired: () => void,
  ) {
    this.timeoutMs = call.route.timeoutMs;
    this.startTimer();
  }

  /** Creates a deadline and starts its timer.
   * @param call The call.
   * @param onExpired Called when the deadline expires. */
  static create(call: RoutedCall, onExpired: () => void): CallDeadline {
    return new CallDeadline(call, onExpired);
  }

  /** Remaining time in milliseconds. */
  get remainingMs(): number {
    const { receivedAt, callerDeadlineAt } = this.call;
    const deadlineAt = Math.min(callerDeadlineAt, receivedAt + this.timeoutMs);
    return deadlineAt - readClock();
  }

  /** Applies a changed timeout of the route.
   * @param timeoutMs The timeout in milliseconds. */
  change(timeoutMs: number): void {
    if (timeoutMs === this.timeoutMs) return;
    this.timeoutMs = timeoutMs;
    this.startTimer();
  }

  /** Stops the timer. */
  close(): void {
    clearTimeout(this.timer);
  }

  private startTimer(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(this.onExpired, Math.max(0, this.remainingMs));
  }
}
