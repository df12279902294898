import type { TrackedRequest } from "../crashes/interrupted_request.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { Logger } from "../logging/logger.ts";
import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { JudgedRepeat } from "../scheduling/judged_repeat.ts";
import type { StreamRemainder } from "../scheduling/route_times.ts";
import type { HealthSignal } from "../upstreams/upstream_health.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import type { StreamOrigin, StreamRecord } from "../streams/stream_record.ts";
import type { RetryDecision } from "../upstreams/retry_decision.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { CallAdmission } from "./call_admission.ts";
import type { PromptPlacement } from "./call_log.ts";
import type { CallForwarder } from "./call_forwarder.ts";
import type { HeaderCodec } from "./caller_headers.ts";
import type { ResponseMemory } from "./response_memory.ts";
import type { RoutedCall } from "./routed_call.ts";

/** How a call ended. */
export interface CallOutcome {
  result: "answered" | "refused" | "broken_off" | "caller_gone";
  /** Status or event count of the response, or the reason why there is no complete response. */
  detail: string;
  durationMs: number;
  /** Number of upstreams that were chosen for the call. */
  attempts: number;
  /** Whether the response was still open and had to be cut. */
  wasOpen: boolean;
  /** Number of pauses between the events of the response. */
  pauses: number;
  /** Mean length of these pauses, in milliseconds; undefined if there were none. */
  pauseMs: number | undefined;
}

/** The upstreams that an attempt of a call may be sent to. */
export interface UpstreamFilter {
  /** Ids of the upstreams that the call was already sent to; they are excluded. */
  triedIds: ReadonlySet<string>;
  /** Where the stream began that the attempt continues; undefined if it begins one. */
  origin: StreamOrigin | undefined;
}

/** Records of the streams that this host forwards. */
export interface StreamAnnouncer {
  /** Tells other hosts where a stream began, until it is released. */
  announce: (key: number, record: StreamRecord) => void;
  /** Ends the announcements of a record, unless another call has announced the stream since. */
  release: (key: number, record: StreamRecord) => void;
}

/** What calls show about the room of their services, and whether their repeats give way for lack of it. */
export interface RepeatAccess {
  /** Decides whether a request may be sent once more; undefined if nothing gives way in this deployment. */
  decide: (
    call: RoutedCall,
    repeat: { cause: RepeatCause; remainingMs: number },
  ) => JudgedRepeat | undefined;
  /** Records that a call has got its first response, or none in time. */
  recordFirstResponse: (call: RoutedCall) => void;
  /** Records that an upstream or this host refused a request for lack of room. */
  recordRefusal: (service: string) => void;
  /** Records the end of a run that followed an error response. */
  recordSecondRun: (call: RoutedCall, wasServed: boolean) => void;
}

/** Selection and bookkeeping of upstreams, as needed to forward a call. */
export interface UpstreamAccess {
  /** Chooses an upstream for a call. */
  choose: (
    call: RoutedCall,
    filter: UpstreamFilter,
  ) => UpstreamChoice | undefined;
  /** Decides whether a call that has not been sent may be sent now.
   * @param call The call.
   * @param choice The upstream to which it would be sent.
   * @param pick Chooses the upstream again after the call has waited. */
  admit: (
    call: RoutedCall,
    choice: UpstreamChoice,
    pick: () => UpstreamChoice | undefined,
  ) => CallAdmission;
  /** Borrows a slot of an upstream of a call's service from another host, if the number of requests to these is
   * limited. Resolves with whether one was borrowed; undefined if no host was asked. */
  borrowSlot: (
    call: RoutedCall,
    filter: UpstreamFilter,
  ) => Promise<boolean> | undefined;
  /** Whether no host that was asked reaches any upstream of a service. */
  isUnreachable: (service: string) => boolean;
  /** Time after which a refused caller may retry, in milliseconds; undefined if the upstreams' backoffs give none. */
  getRetryAfterMs: (
    service: string,
    origin: StreamOrigin | undefined,
  ) => number | undefined;
  /** Whether an upstream could continue a stream now or after a backoff. */
  canContinue: (origin: StreamOrigin) => boolean;
  /** Returns what an engine has cached of a call's prompt and where it should fetch the rest from, and records that the
   * prompt is sent there; undefined if the call shares no prompt. */
  placePrompt: (
    call: RoutedCall,
    target: Upstream,
  ) => PromptPlacement | undefined;
  /** Whether requests may be sent by the publication that this host knows. */
  isPublicationUsable: () => boolean;
  /** Whether a request may still be sent to an upstream that was chosen for it.
   * @param continuesStream Whether the request continues a stream. */
  maySendTo: (upstream: Upstream, continuesStream: boolean) => boolean;
  /** Age of the publication by which upstreams are chosen, in milliseconds. */
  getPublicationAgeMs: () => number;
  /** Records that a request is sent; returns the known load of the upstream. */
  recordSend: (choice: UpstreamChoice) => LoadSnapshot;
  /** Records a complete response, with the milliseconds since the request was sent. */
  recordCompletion: (call: RoutedCall, durationMs: number) => void;
  repeats: RepeatAccess;
  /** Records the time from the send to the first event of a response, or to a response that is no stream. */
  recordFirstEvent: (
    call: RoutedCall,
    choice: UpstreamChoice,
    durationMs: number,
  ) => void;
  /** Records the time from the send to the end of a successful response, and what followed the first event of a
   * stream. */
  recordEnd: (
    choice: UpstreamChoice,
    durationMs: number,
    remainder: StreamRemainder | undefined,
  ) => void;
  /** Takes a retry from the budget of a service if one is left. */
  spendRetry: (service: string) => RetryDecision;
  /** Records what an attempt shows about the health of its upstream. */
  recordHealth: (upstream: Upstream, signal: HealthSignal) => void;
  /** Checks the path to an upstream; resolves with whether this host has connected to it. */
  checkPath: (upstream: Upstream) => Promise<boolean>;
  /** Checks whether the process of an upstream still runs, by a connection to its address. */
  isRunning: (upstream: Upstream) => Promise<boolean>;
  /** Records how much slower than usual an upstream reports to work; undefined if it reports nothing. */
  recordSlowdown: (slowdown: number | undefined) => void;
  /** Records that a connection received a response.
   * @param establishedAt Monotonic milliseconds at which it was established. */
  recordConnectionResponse: (establishedAt: number) => void;
  /** Whether a request that may run only once can be sent on an idle connection to an upstream. */
  trustsIdleConnections: (upstream: Upstream) => boolean;
  /** Records the number of requests per second that an upstream states to bear declining; undefined if it states none. */
  recordDeclineLimit: (upstream: Upstream, limit: number | undefined) => void;
  /** Records that an upstream declined a request. */
  recordDecline: (upstream: Upstream) => void;
  /** Records that the address of an upstream now belongs to another one. */
  recordMoved: (upstream: Upstream) => void;
}

/** Reports and checks for requests that may crash upstreams. */
export interface CrashAccess {
  /** Whether a request that failed may be sent to another upstream. */
  mayRetry: (request: TrackedRequest) => boolean;
  /** Returns the error kind for a request that may not be retried, if it was certainly not run. */
  getRefusalKind: (request: TrackedRequest) => ErrorKind;
  /** Records an attempt whose connection ended before its response was complete. */
  recordInterruption: (
    upstream: Upstream,
    request: TrackedRequest,
    hasPartialResponse: boolean,
  ) => void;
  /** Records that the first event of an attempt's response was received. */
  recordBegin: (request: TrackedRequest) => void;
  /** Records a request that an upstream ran to completion, whatever the response status. */
  recordCompletion: (
    request: TrackedRequest,
    hasPartialResponse: boolean,
  ) => void;
}

/** Dependencies of a call forwarder on the rest of the process. */
export interface CallForwarderContext extends UpstreamAccess {
  logger: Logger;
  codec: HeaderCodec;
  crashes: CrashAccess;
  streams: StreamAnnouncer;
  /** Limits what the incomplete responses of all calls take together. */
  memory: ResponseMemory;
  /** Called once when the call has ended. */
  onEnd: (forwarder: CallForwarder, outcome: CallOutcome) => void;
}
