/** Weight of the newest attempt in the rate of failures. */
const RATE_WEIGHT = 0.12;
/** Weight of a failure that is the connection's or silence, which healthy upstreams do not show. */
const HARD_RATE_WEIGHT = 0.34;
/** Rate of failures above which an upstream is left out. */
const EJECTION_RATE = 0.33;
/** First time for which an upstream is left out, in milliseconds; it doubles while failures go on. */
const FIRST_EJECTION_MS = 1_000;
/** Longest time for which an upstream is left out, in milliseconds. */
const MAX_EJECTION_MS = 6_000;

/** How an attempt at an upstream ended, as far as the upstream's health goes. */
export type HealthSign = "good" | "error_answer" | "broken" | "unreachable";

const WEIGHT_BY_SIGN: Readonly<Record<HealthSign, number>> = {
  good: RATE_WEIGHT,
  error_answer: RATE_WEIGHT,
  broken: HARD_RATE_WEIGHT,
  unreachable: 1,
};

/** What the answers of one upstream say of its health; probes are not used. */
export class UpstreamHealth {
  private failureRate = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;

  private constructor() {}

  /** Creates the health of an upstream of which nothing is known. */
  static create(): UpstreamHealth {
    return new UpstreamHealth();
  }

  /** Recent rate of failures, from 0 to 1. */
  get rate(): number {
    return this.failureRate;
  }

  /** Whether the upstream is left out for now.
   * @param now Monotonic milliseconds. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** Records how an attempt ended.
   * @param sign What the attempt says.
   * @param now Monotonic milliseconds.
   * @returns Time for which the upstream is now left out, in milliseconds, or 0. */
  note(sign: HealthSign, now: number): number {
    const weight = WEIGHT_BY_SIGN[sign];
    const target = sign === "good" ? 0 : 1;
    this.failureRate += weight * (target - this.failureRate);
    if (sign === "good") {
      if (this.failureRate < EJECTION_RATE / 2) this.ejections = 0;
      return 0;
    }
    if (this.failureRate < EJECTION_RATE || this.isEjected(now)) return 0;
    return this.eject(now);
  }

  private eject(now: number): number {
    const duration = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.ejections,
    );
    this.ejections += 1;
    this.ejectedUntil = now + duration;
    this.failureRate = EJECTION_RATE * 0.9;
    return duration;
  }
}
