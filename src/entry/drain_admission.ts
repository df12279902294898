import { CallDurations } from "../admission/call_durations.ts";
import { endsBeforeStop, STOP_TIME_FRACTION } from "../admission/stop_time.ts";
import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Decides which requests a router that stops gracefully takes: those that are likely to end before the stop does. */
export class DrainAdmission {
  private readonly durations = CallDurations.create();
  private endsAt = Infinity;

  private constructor() {}

  /** Creates an admission of a router that is not stopping. */
  static create(): DrainAdmission {
    return new DrainAdmission();
  }

  /** Records that the router stops.
   * @param limitMs Time that the stop may take, in milliseconds. */
  start(limitMs: number): void {
    this.endsAt = readClock() + limitMs * STOP_TIME_FRACTION;
  }

  /** Records an answered request, whether or not the router is stopping.
   * @param request The request.
   * @param durationMs Time until the end of its response, in milliseconds. */
  recordAnswer(request: RoutedRequest, durationMs: number): void {
    this.durations.record(getKind(request), durationMs);
  }

  /** Throws if a request that has not been sent anywhere likely outlasts the stop. Those of a kind that takes an
   * unknown time are taken.
   * @param request The request. */
  assertFits(request: RoutedRequest): void {
    const now = readClock();
    const remainingMs = this.endsAt - now;
    const longMs = this.durations.getLongMs(getKind(request));
    const times = { longMs, deadlineMs: request.deadlineAt - now };
    if (endsBeforeStop(times, remainingMs) ?? true) return;
    throw Failure.create(
      "draining",
      `takes ${Math.round(longMs!)} ms, ${Math.round(remainingMs)} ms are left`,
    );
  }
}

/** Returns the kind of a request, whose requests take similar times. */
function getKind({ customer, requirement }: RoutedRequest): string {
  const upstreams = requirement.role === "engine"
    ? requirement.model
    : requirement.service;
  return `${customer.id} ${requirement.role} ${upstreams}`;
}
