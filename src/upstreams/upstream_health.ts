/** Rate of faults from which an upstream is a suspect. */
const SUSPECT_FAULT_RATE = 0.1;
/** Rate of faults above which an upstream is left out. */
const FAULT_EJECTION_RATE = 0.33;
/** Rate of error answers above which an upstream is left out; well above what a request's own content causes. */
const ERROR_EJECTION_RATE = 0.5;
/** Time after a broken connection for which an upstream that was not heard since is not taken to be within reach, in
 * milliseconds. */
const UNREACHABLE_FOR_MS = 3_000;
/** First time for which an upstream is left out, in milliseconds; it doubles while failures go on. */
const INITIAL_EJECTION_MS = 1_000;
/** Longest time for which an upstream is left out, in milliseconds. */
const MAX_EJECTION_MS = 6_000;

/** How an attempt at an upstream ended, as far as the upstream's health goes. */
export type HealthSign =
  | "good"
  | "error_answer"
  | "broken"
  | "silent"
  | "unreachable";

/** What one sign adds: its weight in the rate of faults, and in that of error answers. */
interface SignalWeights {
  fault: number;
  error: number;
}

/** Two silences in a row leave an upstream out, for one may come from a long prompt of another request; a connection
 * that broke does so alone. */
const SIGNAL_WEIGHTS: Readonly<Record<HealthSign, SignalWeights>> = {
  good: { fault: 0.12, error: 0.1 },
  error_answer: { fault: 0.12, error: 0.1 },
  broken: { fault: 0.34, error: 0 },
  silent: { fault: 0.2, error: 0 },
  unreachable: { fault: 1, error: 0 },
};

/** What the answers of one upstream say of its health; probes are not used. */
export class UpstreamHealth {
  private faultRate = 0;
  private errorRate = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;
  private brokenAt = -Infinity;

  private constructor() {}

  /** Creates the health of an upstream of which nothing is known. */
  static create(): UpstreamHealth {
    return new UpstreamHealth();
  }

  /** Recent rate of broken connections and silences, from 0 to 1. */
  get rate(): number {
    return this.faultRate;
  }

  /** Whether faults were seen lately. */
  get isSuspect(): boolean {
    return this.faultRate >= SUSPECT_FAULT_RATE;
  }

  /** Whether the upstream is left out for now.
   * @param now Monotonic milliseconds. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** Whether the upstream is likely there: no connection to it broke lately, or it was heard since. One that loses single
   * answers still gives others what it keeps.
   * @param heardAt Monotonic milliseconds at which any of its answers last brought bytes.
   * @param now Monotonic milliseconds. */
  isReachable(heardAt: number, now: number): boolean {
    return heardAt > this.brokenAt || now - this.brokenAt >= UNREACHABLE_FOR_MS;
  }

  /** Records how an attempt ended.
   * @param sign What the attempt says.
   * @param now Monotonic milliseconds.
   * @returns Time for which the upstream is now left out, in milliseconds, or 0. */
  note(sign: HealthSign, now: number): number {
    const { fault, error } = SIGNAL_WEIGHTS[sign];
    const isFault = sign !== "good" && sign !== "error_answer";
    const isError = sign === "error_answer";
    this.faultRate += fault * (Number(isFault) - this.faultRate);
    this.errorRate += error * (Number(isError) - this.errorRate);
    if (sign === "unreachable" || sign === "broken") {
      this.brokenAt = now;
    }
    if (sign === "good" && !this.isSuspect) this.ejections = 0;
    if (sign === "good" || this.isEjected(now)) return 0;
    const exceedsThreshold = this.faultRate > FAULT_EJECTION_RATE ||
      this.errorRate > ERROR_EJECTION_RATE;
    return exceedsThreshold ? this.eject(now) : 0;
  }

  private eject(now: number): number {
    const duration = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** this.ejections,
    );
    this.ejections += 1;
    this.ejectedUntil = now + duration;
    this.faultRate = Math.min(this.faultRate, FAULT_EJECTION_RATE * 0.9);
    this.errorRate = Math.min(this.errorRate, ERROR_EJECTION_RATE * 0.9);
    return duration;
  }
}
