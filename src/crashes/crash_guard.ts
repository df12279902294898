import { processTimeline, type Timeline } from "../clock/timeline.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import { type CrashCause, isCausedBy } from "./analyze_crashes.ts";
import { CompletionCounts } from "./completion_counts.ts";
import {
  CrashDetector,
  type CrashDetectorOptions,
  type UpstreamInstance,
} from "./crash_detector.ts";
import type { CrashNews } from "./crash_news.ts";
import { CrashNewsSource } from "./crash_news_source.ts";
import { CRASH_POINTS, HOLD_THRESHOLD_POINTS } from "./crash_record.ts";
import { type CrashHold, CrashStore } from "./crash_store.ts";
import { HoldTrials } from "./hold_trials.ts";
import type {
  InterruptedRequest,
  TrackedRequest,
} from "./interrupted_request.ts";
import type { PartHold } from "./part_hold.ts";
import { PartHolds } from "./part_holds.ts";
import type { RequestHold } from "./request_hold.ts";

/** Maximum id of a process in the counts of completions: an unsigned 32-bit number. */
const MAX_REPORTER_ID = 0xffffffff;

/** Dependencies and callbacks of `CrashGuard`. */
export interface CrashGuardOptions {
  logger: Logger;
  /** Formats a fingerprint for logs and error details. */
  formatFingerprint: (fingerprint: number) => string;
  /** Called when there is news for other hosts. */
  onPendingNews: () => void;
  /** Called when requests are held from now on, or for longer; their attempts that are in flight and unanswered are to
   * be ended. */
  onHeld: (hold: RequestHold) => void;
  /** Called with the hash of each instance that crashed, once nothing listens at its address or it was removed from
   * the list. */
  onCrash: (instanceHash: number) => void;
  /** Called with the hash of each instance that another host newly reports to have crashed. */
  onCrashReported: (instanceHash: number) => void;
  /** Whether this host is the one of the fleet that tries whether a held part still crashes upstreams. */
  isTrialHost: (part: number) => boolean;
  /** Checks whether something listens at the address of an upstream; `checkConnection` by default. */
  check?: CrashDetectorOptions["check"];
  /** Clock and timers; those of the process by default. */
  timeline?: Timeline;
  random?: Random;
}

/** Prevents requests that crash upstreams from crashing more of them, by holding them back for a while. They are
 * recognized as a whole, or by parts of their prompts that they share. */
export class CrashGuard {
  /** What other hosts are told, and have told, about crashes. */
  readonly news: CrashNewsSource;
  private readonly store: CrashStore;
  private readonly detector: CrashDetector;
  private readonly completions: CompletionCounts;
  private readonly parts: PartHolds;
  private readonly trials = HoldTrials.create();
  private readonly timeline: Timeline;

  private constructor(private readonly options: CrashGuardOptions) {
    this.timeline = options.timeline ?? processTimeline;
    const random = options.random ?? Random.create();
    this.completions = CompletionCounts.create(
      random.integer(0, MAX_REPORTER_ID),
    );
    this.store = this.createStore();
    this.parts = PartHolds.create({
      logger: options.logger,
      timeline: this.timeline,
      completions: this.completions,
      getRecords: () => this.store.getPromptRecords(),
      onHeld: (cause) => this.handlePartHold(cause),
      onAnnouncements: options.onPendingNews,
    });
    this.news = CrashNewsSource.create(
      this.store,
      this.completions,
      this.parts,
    );
    this.detector = CrashDetector.create({
      logger: options.logger,
      onCrash: ({ instanceHash }) => options.onCrash(instanceHash),
      onAffected: ({ instanceHash }, requests) =>
        this.recordCrash(instanceHash, requests),
      check: options.check,
      timeline: this.timeline,
    });
  }

  /** Creates a guard without recorded crashes.
   * @param options Dependencies and callbacks. */
  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Returns the failure that refuses a held request, as not run; undefined if the request may be sent. A request with
   * a held part may be sent as a trial, which ends with `recordEnd`.
   * @param request The request. */
  findRefusal(request: TrackedRequest): Failure | undefined {
    const now = this.timeline.read();
    const hold = this.store.getHold(request.fingerprint, now);
    if (hold) return this.createRefusal(request, hold);
    const partHold = this.parts.find(request.parts);
    if (!partHold || this.tryStartTrial(partHold, request, now)) {
      return undefined;
    }
    return createPartRefusal(partHold);
  }

  /** Whether a request that failed may be retried on another upstream. Unconfirmed crashes count too, because they are
   * confirmed only after the next attempt could already have crashed its upstream.
   * @param request The request. */
  mayRetry({ fingerprint, parts }: TrackedRequest): boolean {
    const points = this.store.getPoints(fingerprint) +
      this.detector.getPendingPoints(fingerprint);
    if (points >= HOLD_THRESHOLD_POINTS || this.parts.find(parts)) return false;
    return points === 0 || this.parts.mayRetryInterrupted(parts);
  }

  /** Returns the error kind for a request that may not be retried, if it was certainly not run.
   * @param request The request. */
  getRefusalKind({ parts }: TrackedRequest): ErrorKind {
    return this.parts.find(parts)
      ? "prompt_crashes_upstreams"
      : "crashes_upstreams";
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

  /** Records that part of the response to a request was received.
   * @param request The request. */
  recordBegin({ parts }: TrackedRequest): void {
    this.parts.recordCompletion(parts);
  }

  /** Records that an upstream completed a request, whatever the response.
   * @param request The request.
   * @param hasPartialResponse Whether part of the response had been received, and recorded, before. */
  recordCompletion(
    { requestId, fingerprint, parts }: TrackedRequest,
    hasPartialResponse: boolean,
  ): void {
    this.store.recordCompletion(fingerprint, this.timeline.read());
    if (!hasPartialResponse) this.parts.recordCompletion(parts);
    this.trials.recordCompletion(requestId);
  }

  /** Records that a request has ended, however it did.
   * @param requestId Id of the request. */
  recordEnd(requestId: string): void {
    this.trials.recordEnd(requestId, this.timeline.read());
  }

  /** Records that an instance was removed from the list or replaced.
   * @param instanceHash Hash of the instance. */
  recordRemoval(instanceHash: number): void {
    this.detector.recordRemoval(instanceHash);
  }

  /** Merges what another host tells about crashes.
   * @param news The news. */
  mergeNews(news: CrashNews): void {
    this.news.merge(news, this.timeline.read());
    if (news.completions.length > 0) this.parts.scheduleAnalysis();
    if (this.news.hasPending) this.options.onPendingNews();
  }

  /** Stops all pending crash checks. */
  close(): void {
    this.detector.close();
    this.parts.close();
  }

  private createStore(): CrashStore {
    const { onPendingNews, onCrashReported } = this.options;
    return CrashStore.create({
      onPendingReports: onPendingNews,
      onCrashReported,
      onHeld: (fingerprint, hold) => this.handleHold(fingerprint, hold),
      onPromptCrash: (parts) => {
        this.completions.track(parts, this.timeline.read());
        this.parts.scheduleAnalysis();
      },
      getSuspicion: (parts) => this.parts.getSuspicion(parts),
      isExplained: (instanceHash) => this.parts.explains(instanceHash),
      isHeld: (parts) => this.parts.find(parts) !== undefined,
    });
  }

  private recordCrash(
    instanceHash: number,
    requests: readonly InterruptedRequest[],
  ): void {
    const now = this.timeline.read();
    for (const { fingerprint, points, parts } of requests) {
      this.store.recordCrash(fingerprint, instanceHash, points, now, parts);
    }
  }

  private createRefusal(
    { fingerprint }: TrackedRequest,
    { points, remainingMs }: CrashHold,
  ): Failure {
    return Failure.create(
      "crashes_upstreams",
      `${this.options.formatFingerprint(fingerprint)} has ${points} points`,
      remainingMs,
    );
  }

  /** Starts a trial of a held part if its hold is over and no other host tries it; returns whether it was started. */
  private tryStartTrial(
    { key, cause, heldUntil }: PartHold,
    { requestId }: TrackedRequest,
    now: number,
  ): boolean {
    const { logger, isTrialHost } = this.options;
    const isDue = heldUntil <= now && isTrialHost(cause.parts[0]!);
    if (!isDue) return false;
    this.trials.retain(this.parts.heldKeys);
    if (!this.trials.tryStart(key, requestId, now)) return false;
    logger.warn({ request: requestId, parts: key }, "held_part_tried");
    return true;
  }

  private handleHold(fingerprint: number, hold: CrashHold): void {
    const { points, remainingMs } = hold;
    this.options.logger.warn({
      fingerprint: this.options.formatFingerprint(fingerprint),
      points,
      holdMs: Math.round(remainingMs),
    }, "request_held");
    this.options.onHeld({
      kind: "crashes_upstreams",
      concerns: (request) => request.fingerprint === fingerprint,
    });
  }

  private handlePartHold(cause: CrashCause): void {
    this.options.onPendingNews();
    this.options.onHeld({
      kind: "prompt_crashes_upstreams",
      concerns: ({ parts }) => isCausedBy(parts, cause),
    });
  }
}

function createPartRefusal({ cause, key }: PartHold): Failure {
  return Failure.create(
    "prompt_crashes_upstreams",
    `${cause.crashes} crashes with the parts ${key}`,
  );
}
