/** Fault rate from which an upstream is suspect. */
const SUSPECT_FAULT_RATE = 0.1;
/** Fault rate above which an upstream is ejected. */
const FAULT_EJECTION_RATE = 0.33;
/** Rate of error responses above which an upstream is ejected; well above the rate that the content of requests
 * causes. */
const ERROR_EJECTION_RATE = 0.5;
/** Time after a broken connection for which an upstream is considered unreachable unless bytes were received from it
 * since, in milliseconds. */
const UNREACHABLE_FOR_MS = 3_000;
/** Duration of the first ejection, in milliseconds; it doubles while failures continue. */
const INITIAL_EJECTION_MS = 1_000;
/** Duration of an ejection because other hosts could not connect, in milliseconds. */
const REPORTED_EJECTION_MS = 2_500;
/** Time from the reports until such an ejection, in which a host that hears from the upstream can contradict, in
 * milliseconds: two deliveries of reports. */
export const REPORTED_EJECTION_DELAY_MS = 150;
/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 6_000;

/** Outcome of an attempt at an upstream, as it concerns the upstream's health. */
export type HealthSignal =
  | "good"
  /** A complete response after a silence towards all requests: the upstream had only paused. */
  | "recovered"
  | "error_answer"
  | "broken"
  | "silent"
  | "unreachable";

/** Weights of one signal in the fault rate and in the rate of error responses. */
interface SignalWeights {
  fault: number;
  error: number;
}

/** One broken connection ejects an upstream. It takes two consecutive silences, because a single one may be caused by a
 * long prompt of another request. */
const SIGNAL_WEIGHTS: Readonly<Record<HealthSignal, SignalWeights>> = {
  good: { fault: 0.12, error: 0.1 },
  recovered: { fault: 0.12, error: 0.1 },
  error_answer: { fault: 0.12, error: 0.1 },
  broken: { fault: 0.34, error: 0 },
  silent: { fault: 0.2, error: 0 },
  unreachable: { fault: 1, error: 0 },
};

/** Passive health check of one upstream, based on the outcomes of attempts; there are no active probes. */
export class UpstreamHealth {
  private faultRate = 0;
  private errorRate = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;
  private brokenAt = -Infinity;
  private lastFaultAt = -Infinity;
  private isEjectedForSilence = false;
  /** Monotonic milliseconds until which it is ejected because other hosts could not connect. */
  private reportedOutUntil = -Infinity;
  /** Monotonic milliseconds at which that ejection starts. */
  private reportedOutFrom = Infinity;

  private constructor() {}

  /** Creates the health of an upstream without recorded attempts. */
  static create(): UpstreamHealth {
    return new UpstreamHealth();
  }

  /** Recent rate of faults, that is of failed connections and silences, from 0 to 1. */
  get rate(): number {
    return this.faultRate;
  }

  /** Returns whether the upstream may be failing: its fault rate is high, and its last fault is not older than the last
   * ejection was long. Without that limit, requests that avoid suspects would never show that it has recovered.
   * @param now Monotonic milliseconds. */
  isSuspect(now: number): boolean {
    return this.hasHighFaultRate && now < this.lastFaultAt + this.ejectionMs;
  }

  /** Returns whether the upstream is currently ejected.
   * @param now Monotonic milliseconds. */
  isEjected(now: number): boolean {
    if (now < this.ejectedUntil) return true;
    return now >= this.reportedOutFrom && now < this.reportedOutUntil;
  }

  /** Returns whether the upstream is likely reachable: no connection to it broke recently, or bytes were received from
   * it since. An upstream that loses single responses can still serve its cached prompt parts to others.
   * @param lastReceivedAt Monotonic milliseconds at which bytes of any of its responses were last received.
   * @param now Monotonic milliseconds. */
  isReachable(lastReceivedAt: number, now: number): boolean {
    return lastReceivedAt > this.brokenAt ||
      now - this.brokenAt >= UNREACHABLE_FOR_MS;
  }

  /** Records the outcome of an attempt.
   * @param signal The outcome.
   * @param now Monotonic milliseconds.
   * @returns Duration of the ejection that this outcome causes, in milliseconds, or 0. */
  recordSignal(signal: HealthSignal, now: number): number {
    const { fault, error } = SIGNAL_WEIGHTS[signal];
    const isGood = signal === "good" || signal === "recovered";
    const isFault = !isGood && signal !== "error_answer";
    const isError = signal === "error_answer";
    this.faultRate += fault * (Number(isFault) - this.faultRate);
    this.errorRate += error * (Number(isError) - this.errorRate);
    if (isFault) this.lastFaultAt = now;
    if (signal === "unreachable" || signal === "broken") {
      this.brokenAt = now;
    }
    if (isGood && !this.hasHighFaultRate) this.ejections = 0;
    if (signal === "recovered") this.handleRecovery();
    if (isGood || this.isEjected(now)) return 0;
    const exceedsThreshold = this.faultRate > FAULT_EJECTION_RATE ||
      this.errorRate > ERROR_EJECTION_RATE;
    if (!exceedsThreshold) return 0;
    this.isEjectedForSilence = signal === "silent";
    return this.eject(now);
  }

  /** Ejects the upstream soon because other hosts could not connect to it, unless that is contradicted.
   * @param now Monotonic milliseconds.
   * @returns Duration of the ejection in milliseconds. */
  recordReportedOutage(now: number): number {
    this.reportedOutFrom = now + REPORTED_EJECTION_DELAY_MS;
    this.reportedOutUntil = now + REPORTED_EJECTION_MS;
    return REPORTED_EJECTION_MS;
  }

  /** Ends an ejection because of reports, since another host has heard from the upstream. */
  clearReportedOutage(): void {
    this.reportedOutUntil = -Infinity;
  }

  /** Clears the recorded faults and ends all ejections because of them. */
  clearFaults(): void {
    this.faultRate = 0;
    this.ejections = 0;
    this.ejectedUntil = -Infinity;
    this.brokenAt = -Infinity;
    this.clearReportedOutage();
  }

  /** Discards the silences that were recorded, with the ejection because of them. */
  private handleRecovery(): void {
    this.faultRate = 0;
    if (!this.isEjectedForSilence) return;
    this.isEjectedForSilence = false;
    this.ejectedUntil = -Infinity;
    this.ejections = 0;
  }

  private get hasHighFaultRate(): boolean {
    return this.faultRate >= SUSPECT_FAULT_RATE;
  }

  /** Duration of the last ejection, or of the first one if there was none. */
  private get ejectionMs(): number {
    const doublings = Math.max(0, this.ejections - 1);
    return Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** doublings);
  }

  private eject(now: number): number {
    this.ejections += 1;
    const duration = this.ejectionMs;
    this.ejectedUntil = now + duration;
    this.faultRate = Math.min(this.faultRate, FAULT_EJECTION_RATE * 0.9);
    this.errorRate = Math.min(this.errorRate, ERROR_EJECTION_RATE * 0.9);
    return duration;
  }
}
