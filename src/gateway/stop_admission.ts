import { Failure } from "../errors/failure.ts";
import type { AdmittedCall } from "../forward/admit_call.ts";
import { CallDurations } from "../admission/call_durations.ts";
import type { GracefulStop } from "./graceful_stop.ts";

/** Dependencies of a {@link StopAdmission}. */
export interface StopAdmissionOptions {
  stop: GracefulStop;
  /** Returns the time after which refused callers may retry, in milliseconds. */
  getRetryAfterMs: () => number;
}

/** Decides which calls a stopping host accepts: those that are likely to end before the stop does. */
export class StopAdmission {
  private readonly durations = CallDurations.create();

  private constructor(private readonly options: StopAdmissionOptions) {}

  /** Creates an admission that knows no durations of calls.
   * @param options Its dependencies. */
  static create(options: StopAdmissionOptions): StopAdmission {
    return new StopAdmission(options);
  }

  /** Records an answered call, whether or not the host is stopping.
   * @param route Name of its route.
   * @param durationMs Time from its arrival to the end of its response, in milliseconds. */
  recordAnswer(route: string, durationMs: number): void {
    this.durations.record(route, durationMs);
  }

  /** Describes what was expected of a call that the stop cuts, for the log.
   * @param route Name of its route.
   * @param receivedAt Monotonic milliseconds of its arrival. */
  describeExpectation(route: string, receivedAt: number) {
    const longMs = this.durations.getLongMs(route);
    return {
      receivedAfterStopMs: Math.round(
        this.options.stop.getElapsedMs(receivedAt),
      ),
      expectedMs: longMs && Math.round(longMs),
    };
  }

  /** Returns why a call is refused; undefined if it is accepted.
   * @param call The call, which has not been sent to any upstream. */
  findRefusal(
    { route, callerDeadlineAt, receivedAt }: AdmittedCall,
  ): Failure | undefined {
    const { stop, getRetryAfterMs } = this.options;
    if (!stop.hasStarted) return undefined;
    const longMs = this.durations.getLongMs(route.name);
    const deadlineMs = Math.min(
      callerDeadlineAt - receivedAt,
      route.timeoutMs,
    );
    if (stop.canFinish({ longMs, deadlineMs })) return undefined;
    const expected = longMs === undefined ? "unknown" : Math.round(longMs);
    return Failure.create(
      "draining",
      `takes ${expected} ms, ${Math.round(stop.remainingMs)} ms are left`,
      getRetryAfterMs(),
    );
  }
}
