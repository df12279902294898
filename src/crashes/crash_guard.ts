import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import {
  CrashDetector,
  type CrashDetectorOptions,
  type UpstreamInstance,
} from "./crash_detector.ts";
import type {
  InterruptedRequest,
  TrackedRequest,
} from "./interrupted_request.ts";
import { type CrashHold, CrashStore } from "./crash_store.ts";
import { CRASH_POINTS, HOLD_THRESHOLD_POINTS } from "./crash_record.ts";

/** Dependencies and callbacks of `CrashGuard`. */
export interface CrashGuardOptions {
  logger: Logger;
  /** Formats a fingerprint for logs and error details. */
  formatFingerprint: (fingerprint: number) => string;
  /** Called when reports are pending for other hosts. */
  onPendingReports: () => void;
  /** Called when a request is held from now on, or for longer; its attempts that are in flight and unanswered are to
   * be ended. */
  onHeld: (fingerprint: number) => void;
  /** Called with the hash of each instance that crashed, once nothing listens at its address or it was removed from
   * the list. */
  onCrash: (instanceHash: number) => void;
  /** Called with the hash of each instance that another host newly reports to have crashed. */
  onCrashReported: (instanceHash: number) => void;
  /** Checks whether something listens at the address of an upstream; `checkConnection` by default. */
  check?: CrashDetectorOptions["check"];
}

/** Prevents requests that crash upstreams from crashing more of them, by holding them back for a while. */
export class CrashGuard {
  /** Crashes recorded from this host's attempts and other hosts' reports. */
  readonly store: CrashStore;
  private readonly detector: CrashDetector;

  private constructor(private readonly options: CrashGuardOptions) {
    this.store = CrashStore.create({
      onPendingReports: options.onPendingReports,
      onCrashReported: options.onCrashReported,
      onHeld: (fingerprint, hold) => this.handleHold(fingerprint, hold),
    });
    this.detector = CrashDetector.create({
      logger: options.logger,
      onCrash: ({ instanceHash }) => options.onCrash(instanceHash),
      onAffected: ({ instanceHash }, requests) =>
        this.recordCrash(instanceHash, requests),
      check: options.check,
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
    const hold = this.store.getHold(fingerprint, readClock());
    if (!hold) return undefined;
    const { points, remainingMs } = hold;
    return Failure.create(
      "crashes_upstreams",
      `${this.options.formatFingerprint(fingerprint)} has ${points} points`,
      remainingMs,
    );
  }

  /** Whether a request that failed may be retried on another upstream. Unconfirmed crashes count too, because they are
   * confirmed only after the next attempt could already have crashed its upstream.
   * @param fingerprint Fingerprint of the request. */
  mayRetry(fingerprint: number): boolean {
    const points = this.store.getPoints(fingerprint) +
      this.detector.getPendingPoints(fingerprint);
    return points < HOLD_THRESHOLD_POINTS;
  }

  /** Records an attempt whose connection ended before its response was complete.
   * @param upstream Instance that the request was sent to.
   * @param request The request.
   * @param hasPartialResponse Whether part of the response had already been received. */
  recordInterruption(
    upstream: UpstreamInstance,
    { requestId, fingerprint, parts }: TrackedRequest,
    hasPartialResponse: boolean,
  ): void {
    const points =
      CRASH_POINTS[hasPartialResponse ? "partialResponse" : "noResponse"];
    this.detector.recordInterruption(
      upstream,
      { requestId, fingerprint, parts, points },
    );
  }

  /** Checks a crash that another host reported.
   * @param upstream Instance that is reported to have crashed. */
  checkReportedCrash(upstream: UpstreamInstance): void {
    this.detector.checkReportedCrash(upstream);
  }

  /** Records that an upstream completed a request, whatever the response.
   * @param fingerprint Fingerprint of the request. */
  recordCompletion(fingerprint: number): void {
    this.store.recordCompletion(fingerprint, readClock());
  }

  /** Records that an instance was removed from the list or replaced.
   * @param instanceHash Hash of the instance. */
  recordRemoval(instanceHash: number): void {
    this.detector.recordRemoval(instanceHash);
  }

  /** Stops all pending crash checks. */
  close(): void {
    this.detector.close();
  }

  private recordCrash(
    instanceHash: number,
    requests: readonly InterruptedRequest[],
  ): void {
    const now = readClock();
    for (const { fingerprint, points } of requests) {
      this.store.recordCrash(fingerprint, instanceHash, points, now);
    }
  }

  private handleHold(fingerprint: number, hold: CrashHold): void {
    const { points, remainingMs } = hold;
    this.options.logger.warn({
      fingerprint: this.options.formatFingerprint(fingerprint),
      points,
      holdMs: Math.round(remainingMs),
    }, "request_held");
    this.options.onHeld(fingerprint);
  }
}
