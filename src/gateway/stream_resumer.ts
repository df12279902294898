import { Err, Ok, type Result } from "ts-results-es";
import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { AdmittedCall } from "../forward/admit_call.ts";
import type { UpstreamAccess } from "../forward/call_forwarder_context.ts";
import { isResumableStream } from "../forward/routed_call.ts";
import type { Logger } from "../logging/logger.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { StreamQuestion } from "../streams/stream_directory.ts";
import type { StreamLookupResult } from "../streams/stream_lookup.ts";
import {
  type DecidedResume,
  decideResume,
  type ResumeDecision,
} from "../streams/decide_resume.ts";
import {
  createStreamKey,
  type ResumedStream,
} from "../streams/stream_record.ts";

/** Minimum silence after which callers abandon a stream, in milliseconds. */
const MIN_ABANDON_MS = 2_000;
/** The same silence, as a multiple of the objectives of the route: for the first event, and for the gap between two. */
const ABANDON_OBJECTIVES = { firstEvent: 4, gap: 8 } as const;

/** Maximum wait for the publication to be complete up to a resume, in milliseconds: as long as a long poll. */
const PUBLICATION_TIMEOUT_MS = 1_000;

/** Result of a lookup on a host that knows nothing yet. */
const NO_KNOWLEDGE: StreamLookupResult = {
  record: undefined,
  versions: [],
  observedMs: 0,
  askedHosts: 0,
  responses: 0,
};

/** Dependencies and callbacks of a {@link StreamResumer}. */
export interface StreamResumerOptions {
  logger: Logger;
  /** Looks up a stream at this host and at others; returns undefined until the communication with them has started. */
  lookUp: (
    question: StreamQuestion,
  ) => Promise<StreamLookupResult> | undefined;
  canContinue: UpstreamAccess["canContinue"];
  /** Waits until every upstream is known that was published before a time of this process; resolves with whether all
   * are. */
  awaitPublication: (moment: number, limitMs: number) => Promise<boolean>;
  /** Whether the platform is known not to respond. */
  isPlatformUnavailable: () => boolean;
  /** Resolves when this host has learned which versions have served before it started, or after a short time; undefined
   * if it is not learning. */
  awaitHistory?: () => Promise<void> | undefined;
  /** Called with each decision. */
  onDecision: (decision: ResumeDecision) => void;
}

/** Finds where the streams began that callers resume. */
export class StreamResumer {
  private constructor(private readonly options: StreamResumerOptions) {}

  /** Creates a resumer.
   * @param options Its dependencies and callbacks. */
  static create(options: StreamResumerOptions): StreamResumer {
    return new StreamResumer(options);
  }

  /** Finds the stream that a call resumes; resolves with the refusal if it can't continue. Returns undefined if the call
   * resumes none.
   * @param call The call. */
  find(
    call: AdmittedCall,
  ): Promise<Result<ResumedStream, Failure>> | undefined {
    return isResumableStream(call) && call.headers.lastEventId
      ? this.findStream(call)
      : undefined;
  }

  private async findStream(
    call: AdmittedCall,
  ): Promise<Result<ResumedStream, Failure>> {
    const startedAt = readClock();
    const key = getNamedKey(call);
    const withinMs = getOriginWindowMs(call.route);
    const question = {
      key: key ?? createStreamKey(call.customer, call.requestId),
      service: call.service,
      withinMs,
    };
    const { lookup, isPublicationComplete } = await this.lookUpCompletely(
      question,
      startedAt,
    );
    const decided = decideResume({
      service: call.service,
      route: call.route,
      lookup,
      withinMs,
      isPublicationComplete,
      isPlatformUnavailable: this.options.isPlatformUnavailable(),
      canContinue: this.options.canContinue,
    });
    const { decision, record, continues } = decided;
    this.options.onDecision(decision);
    this.logDecision(call, decided, lookup, readClock() - startedAt);
    return record && continues
      ? Ok({ key, record })
      : Err(Failure.create("stream_unresumable", decision));
  }

  /** Looks up a stream; once more if only the known versions tell where it began, when all that served are known. */
  private async lookUpCompletely(
    question: StreamQuestion,
    startedAt: number,
  ): Promise<{ lookup: StreamLookupResult; isPublicationComplete: boolean }> {
    const lookup = await this.lookUp(question);
    if (lookup.record || lookup.versions.length !== 1) {
      return { lookup, isPublicationComplete: false };
    }
    const isPublicationComplete = await this.options.awaitPublication(
      startedAt,
      PUBLICATION_TIMEOUT_MS,
    );
    return { lookup: await this.lookUp(question), isPublicationComplete };
  }

  /** Looks up a stream; once more if nothing is known of it while this host is still learning which versions served. */
  private async lookUp(question: StreamQuestion): Promise<StreamLookupResult> {
    const { lookUp, awaitHistory } = this.options;
    const pendingHistory = awaitHistory?.();
    const result = await lookUp(question) ?? NO_KNOWLEDGE;
    if (result.record || !pendingHistory) return result;
    await pendingHistory;
    return await lookUp(question) ?? NO_KNOWLEDGE;
  }

  private logDecision(
    call: AdmittedCall,
    { decision, record }: DecidedResume,
    { versions, observedMs, askedHosts, responses }: StreamLookupResult,
    waitedMs: number,
  ): void {
    this.options.logger.info({
      request: call.requestId,
      resumesRequest: call.headers.resumedRequestId,
      resumesAfter: call.headers.lastEventId,
      decision,
      service: record?.service ?? call.service,
      softwareVersion: record?.softwareVersion,
      order: record?.order,
      versions: versions.join(","),
      observedMs: Math.round(Math.min(observedMs, Number.MAX_SAFE_INTEGER)),
      askedHosts,
      responses,
      waitedMs: Math.round(waitedMs),
    }, "stream_resume_decided");
  }
}

/** Returns the time within which the upstream of the last event was sent the request of a stream that is resumed, and was
 * listed: the timeout of the route, and the silence after which its caller has abandoned it. */
function getOriginWindowMs(
  { timeoutMs, objectiveMs, gapObjectiveMs = 0 }: Route,
): number {
  return timeoutMs + Math.max(
    MIN_ABANDON_MS,
    ABANDON_OBJECTIVES.firstEvent * objectiveMs,
    ABANDON_OBJECTIVES.gap * gapObjectiveMs,
  );
}

/** Returns the key of the stream that a call names; undefined if it names none, or itself. */
function getNamedKey(
  { customer, requestId, headers: { resumedRequestId } }: AdmittedCall,
): number | undefined {
  return resumedRequestId === undefined || resumedRequestId === requestId
    ? undefined
    : createStreamKey(customer, resumedRequestId);
}
