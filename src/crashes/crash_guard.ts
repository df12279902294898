import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import {
  type CheckedUpstream,
  CrashDetector,
  type InterruptedRequest,
} from "./crash_detector.ts";
import { type CrashHold, CrashStore } from "./crash_memory.ts";
import { CRASH_POINTS, HOLD_THRESHOLD_POINTS } from "./crash_record.ts";

/** Dependencies and callbacks of `CrashGuard`. */
export interface CrashGuardOptions {
  logger: Logger;
  /** Formats a fingerprint for logs and error details. */
  describe: (fingerprint: number) => string;
  /** Called when reports are pending for other hosts. */
  onNews: () => void;
  /** Called when a request is held from now on, or for longer; its attempts that are in flight and unanswered are to
   * be ended. */
  onHeld: (fingerprint: number) => void;
  /** Called with the hash of each instance that crashed, once nothing listens at its address or it was removed from
   * the list. */
  onCrash: (instance: number) => void;
  /** Called with the hash of each instance that another host newly reports to have crashed. */
  onRumour: (instance: number) => void;
}

/** Prevents requests that crash upstreams from crashing more of them, by holding them back for a while. */
export class CrashGuard {
  /** Crashes recorded from this host's attempts and other hosts' reports. */
  readonly memory: CrashStore;
  private readonly detector: CrashDetector;

  private constructor(private readonly options: CrashGuardOptions) {
    this.memory = CrashStore.create({
      onPendingReports: options.onNews,
      onCrashReported: options.onRumour,
      onHeld: (fingerprint, hold) => this.handleHold(fingerprint, hold),
    });
    this.detector = CrashDetector.create({
      logger: options.logger,
      onCrash: ({ shortName }) => options.onCrash(shortName),
      onAffected: ({ shortName }, requests) =>
        this.recordCrash(shortName, requests),
    });
  }

  /** Creates a guard without recorded crashes.
   * @param options Dependencies and callbacks. */
  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Returns the failure that refuses a held request, as not run and with the time until it may be sent again;
   * undefined if the request may be sent.
   * @param fingerprint Fingerprint of the request. */
  findRefusal(fingerprint: number): Failure | undefined {
    const hold = this.memory.getHold(fingerprint, readClock());
    if (!hold) return undefined;
    const { points, remainingMs } = hold;
    return Failure.create(
      "crashes_upstreams",
      `${this.options.describe(fingerprint)} has ${points} points`,
      remainingMs,
    );
  }

  /** Whether a request that failed may be retried on another upstream. Unconfirmed crashes count too, because they are
   * confirmed only after the next attempt could already have crashed its upstream.
   * @param fingerprint Fingerprint of the request. */
  maySendAgain(fingerprint: number): boolean {
    const points = this.memory.getPoints(fingerprint) +
      this.detector.getPendingPoints(fingerprint);
    return points < HOLD_THRESHOLD_POINTS;
  }

  /** Records an attempt whose connection ended before its answer was complete.
   * @param upstream Instance that the request was sent to.
   * @param fingerprint Fingerprint of the request.
   * @param isPartiallyAnswered Whether the attempt had already returned events. */
  noteBroken(
    upstream: CheckedUpstream,
    fingerprint: number,
    isPartiallyAnswered: boolean,
  ): void {
    const points =
      CRASH_POINTS[isPartiallyAnswered ? "partiallyAnswered" : "unanswered"];
    this.detector.recordInterruption(upstream, { fingerprint, points });
  }

  /** Checks a crash that another host reported.
   * @param upstream Instance that is reported to have crashed. */
  noteRumour(upstream: CheckedUpstream): void {
    this.detector.checkReportedCrash(upstream);
  }

  /** Records that an upstream completed a request, whatever the answer.
   * @param fingerprint Fingerprint of the request. */
  noteServed(fingerprint: number): void {
    this.memory.recordCompletion(fingerprint, readClock());
  }

  /** Records that an instance was removed from the list or replaced.
   * @param instance Hash of the instance. */
  noteGone(instance: number): void {
    this.detector.recordRemoval(instance);
  }

  /** Stops all pending crash checks. */
  close(): void {
    this.detector.close();
  }

  private recordCrash(
    instance: number,
    requests: readonly InterruptedRequest[],
  ): void {
    const now = readClock();
    for (const { fingerprint, points } of requests) {
      this.memory.recordCrash(fingerprint, instance, points, now);
    }
  }

  private handleHold(fingerprint: number, hold: CrashHold): void {
    const { points, remainingMs } = hold;
    this.options.logger.warn({
      fingerprint: this.options.describe(fingerprint),
      points,
      holdMs: Math.round(remainingMs),
    }, "request_held");
    this.options.onHeld(fingerprint);
  }
}
