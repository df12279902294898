import { getOrCreateLruEntry } from "../admission/lru_entry.ts";
import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import {
  type CallAdmission,
  type CallStart,
  type EarlyRefusal,
  START,
} from "../forward/call_admission.ts";
import type { RoutedCall } from "../forward/routed_call.ts";
import type { Random } from "../random/random.ts";
import type { RefusalReason } from "../scheduling/decide_admission.ts";
import {
  type AdmissionRequest,
  type ArrivingRequest,
  type MadeDecision,
  ServiceAdmission,
} from "../scheduling/service_admission.ts";
import type { TimeEstimate } from "../scheduling/time_estimate.ts";
import { type WorkLoad, WorkTimes } from "../scheduling/work_times.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { AdmissionLog } from "./admission_log.ts";

/** Maximum number of services with recorded requests. */
const MAX_SERVICES = 500;

/** Details of refusals for callers. */
const REFUSAL_DETAILS: Readonly<Record<RefusalReason, string>> = {
  time_limit: "no response is expected within the time limit",
  queue: "no response is expected within the objective",
  waiting_room: "too many requests wait",
};

/** Dependencies of {@link CallAdmissions}. */
export interface CallAdmissionsOptions {
  timeline: Timeline;
  random: Random;
  log: AdmissionLog;
  /** Whether requests are scheduled by time now. */
  isInForce: () => boolean;
  /** Returns the load of an upstream. */
  getLoad: (choice: UpstreamChoice) => WorkLoad;
}

/** A call that asks for admission. */
interface ArrivingCall extends ArrivingRequest {
  call: RoutedCall;
  pick: () => UpstreamChoice | undefined;
  /** Ends its wait; without effect unless it waits. */
  resolve: (result: CallStart | EarlyRefusal) => void;
}

type CallDecision = MadeDecision<ArrivingCall>;

/** Admission to one service. */
interface AdmittedService {
  admission: ServiceAdmission<ArrivingCall>;
  workTimes: WorkTimes;
  cancelRecheck: CancelTimer | undefined;
}

/** Admits the calls of this host to the upstreams of each service, as far as requests are scheduled by time. */
export class CallAdmissions {
  private readonly services = new Map<string, AdmittedService>();
  /** Loads of the upstreams that were last chosen for the calls in progress. */
  private readonly loads = new WeakMap<RoutedCall, WorkLoad>();

  private constructor(private readonly options: CallAdmissionsOptions) {}

  /** Creates an admission without recorded calls.
   * @param options Its dependencies. */
  static create(options: CallAdmissionsOptions): CallAdmissions {
    return new CallAdmissions(options);
  }

  /** Decides whether a call may be sent now.
   * @param call The call.
   * @param choice The upstream to which it would be sent.
   * @param pick Chooses the upstream again after a wait. */
  admit(
    call: RoutedCall,
    choice: UpstreamChoice,
    pick: () => UpstreamChoice | undefined,
  ): CallAdmission {
    if (!this.options.isInForce()) return START;
    const service = this.getService(call.service);
    const now = this.options.timeline.read();
    const made = service.admission.decideArrival(
      createArriving(call, pick),
      this.estimate(call, choice),
      now,
    );
    if (made.decision.type !== "wait") return this.conclude(made, 0);
    this.recordWaiting(call, service);
    this.scheduleRecheck(service);
    const result = new Promise<CallStart | EarlyRefusal>((resolve) =>
      made.request.resolve = resolve
    );
    const leave = () => this.leave(service, made.request);
    return { type: "wait", result, leave };
  }

  /** Records that an upstream was chosen for a call.
   * @param call The call.
   * @param choice The choice. */
  recordChoice(call: RoutedCall, choice: UpstreamChoice): void {
    if (!this.options.isInForce()) return;
    this.loads.set(call, this.options.getLoad(choice));
  }

  /** Records a completed call.
   * @param call The call.
   * @param durationMs Time since it was sent, in milliseconds. */
  recordCompletion(call: RoutedCall, durationMs: number): void {
    const load = this.loads.get(call);
    if (!load || !this.options.isInForce()) return;
    const service = this.getService(call.service);
    service.workTimes.record(call.route.name, durationMs, load);
    this.decideWaiting(service);
  }

  /** Cancels what is scheduled. */
  close(): void {
    for (const { cancelRecheck } of this.services.values()) cancelRecheck?.();
  }

  private getService(name: string): AdmittedService {
    return getOrCreateLruEntry(this.services, name, () => ({
      admission: ServiceAdmission.create<ArrivingCall>(this.options.random),
      workTimes: WorkTimes.create(),
      cancelRecheck: undefined,
    }), MAX_SERVICES);
  }

  /** Returns the expected times of a call at an upstream. Those of streams do not follow from durations of calls. */
  private estimate(
    { route, service }: RoutedCall,
    choice: UpstreamChoice | undefined,
  ): TimeEstimate | undefined {
    if (choice?.estimate) return choice.estimate;
    if (!choice || route.kind === "stream") return undefined;
    const load = this.options.getLoad(choice);
    return this.getService(service).workTimes.estimate(route.name, load);
  }

  private decideWaiting(service: AdmittedService): void {
    const { admission } = service;
    const now = this.options.timeline.read();
    for (;;) {
      const made = admission.decideNext(
        ({ call, pick }) => this.estimate(call, pick()),
        now,
      );
      if (!made) break;
      const { call, arrivedAt, resolve } = made.request;
      resolve(this.conclude(made, now - arrivedAt));
      this.recordWaiting(call, service);
    }
    this.scheduleRecheck(service);
  }

  private scheduleRecheck(service: AdmittedService): void {
    if (service.cancelRecheck || service.admission.waitingCount === 0) return;
    const { timeline } = this.options;
    service.cancelRecheck = timeline.after(
      service.admission.getRecheckDelayMs(timeline.read()),
      () => {
        service.cancelRecheck = undefined;
        this.decideWaiting(service);
      },
    );
  }

  /** Logs a decision that is not to wait, and returns its result. */
  private conclude(
    made: CallDecision,
    waitedMs: number,
  ): CallStart | EarlyRefusal {
    const { request: { call }, decision } = made;
    const { log } = this.options;
    if (waitedMs > 0) log.logWaited(call, waitedMs, decision.type);
    if (decision.type !== "refuse") return START;
    log.logRefusal(call, made, waitedMs);
    const { reason, retryAfterMs } = decision;
    return { type: "refuse", detail: REFUSAL_DETAILS[reason], retryAfterMs };
  }

  private leave(
    service: AdmittedService,
    request: AdmissionRequest<ArrivingCall>,
  ): void {
    const { call, arrivedAt } = request;
    service.admission.remove(request);
    const waitedMs = this.options.timeline.read() - arrivedAt;
    this.options.log.logWaited(call, waitedMs, "leave");
    this.recordWaiting(call, service);
  }

  private recordWaiting(
    { service: name }: RoutedCall,
    { admission }: AdmittedService,
  ): void {
    this.options.log.recordWaiting(name, admission.waitingCount);
  }
}

function createArriving(
  call: RoutedCall,
  pick: ArrivingCall["pick"],
): ArrivingCall {
  const { route, customer, urgency, body, receivedAt, callerDeadlineAt } = call;
  return {
    call,
    pick,
    resolve: () => undefined,
    route: route.name,
    customer: customer ?? "",
    urgency,
    bytes: body?.length ?? 0,
    arrivedAt: receivedAt,
    objectiveMs: route.objectiveMs,
    limitEndsAt: Math.min(callerDeadlineAt, receivedAt + route.timeoutMs),
  };
}
