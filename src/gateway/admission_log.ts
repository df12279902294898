import type { RoutedCall } from "../forward/routed_call.ts";
import type { Logger } from "../logging/logger.ts";
import type {
  ArrivingRequest,
  MadeDecision,
} from "../scheduling/service_admission.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** How the wait of a call ended. */
export type WaitEnd = "start" | "refuse" | "wait" | "leave";

/** Counts the calls that wait or are refused. */
export type AdmissionMetrics = Pick<
  GatewayMetrics,
  "recordWaiting" | "recordWaited" | "recordEarlyRefusal"
>;

/** What an {@link AdmissionLog} writes to. */
export interface AdmissionLogOptions {
  logger: Logger;
  metrics: AdmissionMetrics | undefined;
  /** Returns the age of the other hosts' counts, in milliseconds. */
  getCountAgeMs: () => number;
}

/** Logs and counts the calls that wait for admission or are refused it. */
export class AdmissionLog {
  private constructor(private readonly options: AdmissionLogOptions) {}

  /** Creates a log.
   * @param options What it writes to. */
  static create(options: AdmissionLogOptions): AdmissionLog {
    return new AdmissionLog(options);
  }

  /** Records the number of calls that wait.
   * @param service Name of the service.
   * @param count Their number. */
  recordWaiting(service: string, count: number): void {
    this.options.metrics?.recordWaiting(service, count);
  }

  /** Logs the end of a call's wait.
   * @param call The call.
   * @param waitedMs Time since it arrived, in milliseconds.
   * @param end How the wait ended. */
  logWaited(call: RoutedCall, waitedMs: number, end: WaitEnd): void {
    this.options.metrics?.recordWaited(end);
    this.options.logger.info({
      request: call.requestId,
      service: call.service,
      waitedMs: Math.round(waitedMs),
      end,
    }, "request_waited");
  }

  /** Logs a call that is refused before it is sent, with what the decision was based on.
   * @param call The call.
   * @param made The decision.
   * @param waitedMs Time for which the call waited, in milliseconds. */
  logRefusal(
    call: RoutedCall,
    { decision, input, usage }: MadeDecision<ArrivingRequest>,
    waitedMs: number,
  ): void {
    if (decision.type !== "refuse") return;
    const { estimate } = input;
    this.options.metrics?.recordEarlyRefusal(decision.reason);
    this.options.logger.info({
      request: call.requestId,
      service: call.service,
      route: call.route.name,
      customer: call.customer,
      reason: decision.reason,
      retryAfterMs: Math.round(decision.retryAfterMs),
      queueMs: estimate && Math.round(estimate.waitMs),
      firstEventMs: estimate && Math.round(estimate.firstEventMs),
      totalMs: estimate && Math.round(estimate.totalMs),
      errorMs: estimate && Math.round(estimate.errorMs),
      allowanceMs: Math.round(input.allowanceMs),
      limitLeftMs: Math.round(input.limitLeftMs),
      shortMs: Math.round(input.shortMs),
      fullMs: Math.round(input.fullMs),
      usage: Number(usage.toFixed(1)),
      waitedMs: Math.round(waitedMs),
      countAgeMs: Math.round(this.options.getCountAgeMs()),
    }, "request_refused_early");
  }
}
