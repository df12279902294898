import type { Random } from "../random/random.ts";
import { CustomerShares } from "./customer_shares.ts";
import {
  type AdmissionDecision,
  type AdmissionInput,
  decideAdmission,
  isQueueShort,
  refuseWaiting,
} from "./decide_admission.ts";
import { QueueAllowance } from "./queue_allowance.ts";
import { Shortage } from "./shortage.ts";
import type { TimeEstimate } from "./time_estimate.ts";
import { type WaitingRequest, WaitingRoom } from "./waiting_room.ts";

/** Fraction of a request's objective for which it may wait at a host: one that is refused then leaves its caller the
 * time to go elsewhere. */
const MAX_WAIT_FRACTION = 0.25;

/** Interval at which waiting requests are decided on again, in milliseconds. */
const RECHECK_INTERVAL_MS = 15;
/** Part of the usual queue that a request of a customer above its share may join at an upstream. */
const ABOVE_SHARE_FRACTION = 0.5;

/** A request that asks for admission to a service. */
export interface ArrivingRequest
  extends Omit<WaitingRequest, "waitsUntil" | "objectiveEndsAt"> {
  /** Name of its route. */
  route: string;
  /** Latency objective of its route, in milliseconds. */
  objectiveMs: number;
  /** Monotonic milliseconds at which its time limit ends. */
  limitEndsAt: number;
}

/** A request for admission, whose time to wait is known. */
export type AdmissionRequest<T extends ArrivingRequest> = T & WaitingRequest;

/** A decision, and what it was based on. */
export interface MadeDecision<T extends ArrivingRequest> {
  request: AdmissionRequest<T>;
  decision: AdmissionDecision;
  input: AdmissionInput;
  /** Use of the request's customer relative to its share. */
  usage: number;
}

/** Decides which requests to one service start, wait at this host or are refused, and in which order those that wait
 * start. */
export class ServiceAdmission<T extends ArrivingRequest> {
  private readonly shares = CustomerShares.create();
  private readonly allowance = QueueAllowance.create();
  private readonly room = WaitingRoom.create<AdmissionRequest<T>>(
    (customer, now) => this.shares.getUsage(customer, now),
  );
  private readonly shortage = Shortage.create();

  private constructor(private readonly random: Random) {}

  /** Creates the admission to a service without waiting requests.
   * @param random Spreads the retry times. */
  static create<T extends ArrivingRequest>(
    random: Random,
  ): ServiceAdmission<T> {
    return new ServiceAdmission<T>(random);
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.room.length;
  }

  /** Returns the time after which to decide again on the requests that wait, in milliseconds.
   * @param now Monotonic milliseconds. */
  getRecheckDelayMs(now: number): number {
    const untilEndMs = Math.max(0, this.room.getFirstEnd() - now);
    return Math.min(RECHECK_INTERVAL_MS, untilEndMs);
  }

  /** Decides on a request that has arrived. One that has to wait is in the room afterwards.
   * @param arriving The request.
   * @param estimate Its expected times at the best upstream; undefined if nothing is known.
   * @param now Monotonic milliseconds. */
  decideArrival(
    arriving: T,
    estimate: TimeEstimate | undefined,
    now: number,
  ): MadeDecision<T> {
    const { objectiveMs, arrivedAt, customer } = arriving;
    this.shares.recordArrival(customer, now);
    const request = {
      ...arriving,
      waitsUntil: arrivedAt + objectiveMs * MAX_WAIT_FRACTION,
      objectiveEndsAt: arrivedAt + objectiveMs,
    };
    const made = this.decide(request, estimate, now);
    if (made.decision.type === "refuse") return made;
    const mayStart = made.decision.type === "start";
    // Requests that wait already go first.
    if (mayStart && this.room.length === 0) return made;
    if (this.room.add(request) === undefined) {
      return { ...made, decision: { type: "wait" } };
    }
    if (mayStart) return made;
    const decision = refuseWaiting(made.input, this.random);
    return { ...made, decision };
  }

  /** Decides on the request that goes first, or on one whose time to wait has ended. Returns undefined if there is none,
   * or if it has to wait on.
   * @param estimate Returns the expected times of a request at the best upstream.
   * @param now Monotonic milliseconds. */
  decideNext(
    estimate: (request: AdmissionRequest<T>) => TimeEstimate | undefined,
    now: number,
  ): MadeDecision<T> | undefined {
    for (const request of [this.room.findNext(now), this.room.findOver(now)]) {
      if (!request) continue;
      const made = this.decide(request, estimate(request), now);
      if (made.decision.type === "wait") continue;
      this.room.remove(request);
      return made;
    }
    return undefined;
  }

  /** Removes a request that waits, because its caller has left.
   * @param request The request. */
  remove(request: AdmissionRequest<T>): void {
    this.room.remove(request);
  }

  private decide(
    request: AdmissionRequest<T>,
    estimate: TimeEstimate | undefined,
    now: number,
  ): MadeDecision<T> {
    const usage = this.shares.getUsage(request.customer, now);
    const isAboveShare = usage > 1;
    const input: AdmissionInput = {
      ...this.shortage.getTimes(now),
      estimate,
      isAboveShare,
      objectiveMs: request.objectiveMs,
      limitLeftMs: request.limitEndsAt - now,
      allowanceMs: this.getAllowanceMs(request, estimate, now) *
        (isAboveShare ? ABOVE_SHARE_FRACTION : 1),
      waitLeftMs: request.waitsUntil - now,
    };
    if (isQueueShort(input)) this.shortage.recordStart();
    else this.shortage.recordShort(now);
    const decision = decideAdmission(input, this.random);
    return { request, decision, input, usage };
  }

  /** Returns the longest queue that a request may join, without the time for which it has waited already. */
  private getAllowanceMs(
    { route, urgency, objectiveMs, arrivedAt }: T,
    estimate: TimeEstimate | undefined,
    now: number,
  ): number {
    if (!estimate) return Infinity;
    const workMs = estimate.firstEventMs - estimate.waitMs;
    const needs = { route, urgency, objectiveMs, workMs };
    return Math.max(0, this.allowance.record(needs, now) - (now - arrivedAt));
  }
}
