import {
  type CancelTimer,
  processTimeline,
  type Timeline,
} from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import { formatFingerprint } from "../hashing/request_fingerprint.ts";
import type { InterruptedRequest } from "./interrupted_request.ts";
import { checkConnection, type CheckResult } from "./connection_check.ts";

/** Time for which a suspected crash is kept after an undecided check or after its confirmation, in milliseconds. It
 * is longer than a crashed upstream stays listed, so that its removal from the list can still confirm the crash. */
const SUSPECTED_CRASH_RETENTION_MS = 8_000;

/** One instance of an upstream, that is, one start of its process. */
export interface UpstreamInstance {
  /** Id of the upstream, for the log. */
  readonly id: string;
  /** Hash that identifies the instance in messages between hosts. */
  readonly instanceHash: number;
  /** Address, as ip:port. */
  readonly address: string;
  /** Whether the upstream is leaving or was removed from the list, so that its end is not a crash. */
  readonly isEndExpected: boolean;
}

/** Dependencies and callbacks of `CrashDetector`. */
export interface CrashDetectorOptions {
  logger: Logger;
  /** Called once for each instance that crashed. */
  onCrash: (upstream: UpstreamInstance) => void;
  /** Called with the requests that were interrupted by a confirmed crash. */
  onAffected: (
    upstream: UpstreamInstance,
    requests: readonly InterruptedRequest[],
  ) => void;
  /** Checks whether something listens at the address of an upstream; `checkConnection` by default. */
  check?: (upstream: UpstreamInstance) => Promise<CheckResult>;
  /** Timers; those of the process by default. */
  timeline?: Timeline;
}

/** An instance that may have crashed, with the requests that it interrupted. */
interface SuspectedCrash {
  upstream: UpstreamInstance;
  requests: InterruptedRequest[];
  isConfirmed: boolean;
  cancelTimer: CancelTimer | undefined;
}

/** Distinguishes the crash of an upstream from a single connection that was closed or reset: after a crash nothing
 * listens at its address. That is checked immediately by a separate connection, because the next request to the
 * upstream may only follow seconds later. */
export class CrashDetector {
  /** Suspected and confirmed crashes, by the hash of the instance. */
  private readonly crashes = new Map<number, SuspectedCrash>();

  private readonly timeline: Timeline;

  private constructor(private readonly options: CrashDetectorOptions) {
    this.timeline = options.timeline ?? processTimeline;
  }

  /** Creates a detector.
   * @param options Dependencies and callbacks. */
  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /** Records an interrupted request and checks whether its upstream crashed.
   * @param upstream Instance that the request was sent to.
   * @param request The request. */
  recordInterruption(
    upstream: UpstreamInstance,
    request: InterruptedRequest,
  ): void {
    if (upstream.isEndExpected) return;
    const crash = this.crashes.get(upstream.instanceHash);
    if (crash?.isConfirmed) return this.reportAffected(upstream, [request]);
    if (crash) crash.requests.push(request);
    else this.startCheck(upstream, [request]);
  }

  /** Returns the points that a request would be given if all unconfirmed crashes were confirmed; several attempts on
   * one instance count once.
   * @param fingerprint Fingerprint of the request. */
  getPendingPoints(fingerprint: number): number {
    return [...this.crashes.values()].filter((crash) => !crash.isConfirmed)
      .map((crash) => getMaxPoints(crash.requests, fingerprint))
      .reduce((sum, points) => sum + points, 0);
  }

  /** Checks a crash that another host reported: it is only confirmed if nothing listens at the address, because the
   * other host may merely be cut off from the upstream.
   * @param upstream Instance that is reported to have crashed. */
  checkReportedCrash(upstream: UpstreamInstance): void {
    if (upstream.isEndExpected) return;
    if (!this.crashes.has(upstream.instanceHash)) this.startCheck(upstream, []);
  }

  /** Records that an instance was removed from the list or replaced, which confirms a suspected crash.
   * @param instanceHash Hash of the instance. */
  recordRemoval(instanceHash: number): void {
    const crash = this.crashes.get(instanceHash);
    if (crash && !crash.isConfirmed) this.confirm(crash);
  }

  /** Stops all timers and discards all suspected crashes. */
  close(): void {
    for (const { cancelTimer } of this.crashes.values()) cancelTimer?.();
    this.crashes.clear();
  }

  private startCheck(
    upstream: UpstreamInstance,
    requests: InterruptedRequest[],
  ): void {
    const crash: SuspectedCrash = {
      upstream,
      requests,
      isConfirmed: false,
      cancelTimer: undefined,
    };
    this.crashes.set(upstream.instanceHash, crash);
    void this.check(crash);
  }

  private async check(crash: SuspectedCrash): Promise<void> {
    const { upstream } = crash;
    const result = await (this.options.check?.(upstream) ??
      checkConnection(upstream.address));
    if (this.crashes.get(upstream.instanceHash) !== crash) return;
    if (result === "refused") return this.confirm(crash);
    if (result === "taken") return this.dismiss(crash, result);
    crash.cancelTimer = this.timeline.after(
      SUSPECTED_CRASH_RETENTION_MS,
      () => this.dismiss(crash, result),
    );
  }

  private confirm(crash: SuspectedCrash): void {
    if (crash.isConfirmed) return;
    crash.cancelTimer?.();
    crash.isConfirmed = true;
    const { upstream, requests } = crash;
    this.options.logger.warn(
      { upstream: upstream.id, requests: requests.length },
      "upstream_crashed",
    );
    this.options.onCrash(upstream);
    if (requests.length > 0) this.reportAffected(upstream, requests);
    this.scheduleRemoval(crash);
  }

  private reportAffected(
    upstream: UpstreamInstance,
    requests: readonly InterruptedRequest[],
  ): void {
    for (const { requestId, fingerprint, parts, points } of requests) {
      this.options.logger.info({
        request: requestId,
        upstream: upstream.id,
        fingerprint: formatFingerprint(fingerprint),
        parts: parts.join(","),
        points,
      }, "request_interrupted_by_crash");
    }
    this.options.onAffected(upstream, requests);
  }

  private dismiss(crash: SuspectedCrash, result: CheckResult): void {
    const { upstream, requests, isConfirmed } = crash;
    if (isConfirmed) return;
    this.crashes.delete(upstream.instanceHash);
    this.options.logger.info(
      { upstream: upstream.id, requests: requests.length, check: result },
      "upstream_not_crashed",
    );
  }

  /** Keeps a confirmed crash for a while, so that it is also attributed to requests whose connections end a little
   * later. */
  private scheduleRemoval(crash: SuspectedCrash): void {
    const { instanceHash } = crash.upstream;
    crash.cancelTimer = this.timeline.after(
      SUSPECTED_CRASH_RETENTION_MS,
      () => this.crashes.delete(instanceHash),
    );
  }
}

/** Returns the most points among the requests with a fingerprint; 0 if there is none. */
function getMaxPoints(
  requests: readonly InterruptedRequest[],
  fingerprint: number,
): number {
  const matching = requests.filter((request) =>
    request.fingerprint === fingerprint
  );
  return Math.max(0, ...matching.map((request) => request.points));
}
