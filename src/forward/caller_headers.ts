import type { AvailabilityNotice } from "../upstreams/availability_notice.ts";

/** One part of a prompt; other requests may share it. */
export interface PromptPart {
  /** Identifies the content: equal for equal parts. */
  id: string;
  tokens: number;
}

/** Description of the prompt in a request to a model engine. */
export interface PromptOutline {
  model: string;
  /** The parts in order; the last is specific to the request or its chat. */
  parts: readonly PromptPart[];
  /** Number of tokens in the entire prompt. */
  promptTokens: number;
  /** Number of tokens that the caller expects in the response; undefined if it does not say. */
  lengthHint?: number;
}

/** The parsed headers of a caller's request. */
export interface CallerHeaders {
  /** Id of this request; undefined if it is missing, empty or repeated. */
  requestId: string | undefined;
  /** Value of the host header; undefined if it is missing or repeated. */
  host: string | undefined;
  /** Time for which the caller waits for the response, in milliseconds; undefined if not given. */
  remainingMs: number | undefined;
  /** API key of a customer. */
  key: string | undefined;
  /** Undefined if the request is not for a model engine. */
  prompt: PromptOutline | undefined;
  /** Id of the last event that the caller has received, if it resumes a stream. */
  lastEventId: string | undefined;
  /** Id of the request whose response contained the first event of the resumed stream; undefined if it is missing, empty
   * or repeated. */
  resumedRequestId: string | undefined;
  /** Headers to forward unchanged, as alternating names and values: without hop-by-hop headers and without those that
   * the system sets itself. */
  forwardedHeaders: readonly string[];
}

/** Values that the system adds to a request for an upstream, in addition to the caller's headers. */
export interface UpstreamHeaders {
  /** Upstream that should run the request; any other upstream refuses it. */
  upstreamId: string;
  /** Remaining time in milliseconds. */
  remainingMs: number;
  /** Customer of the request's key. */
  customer: string | undefined;
  /** Priority class; 0 is the most urgent. Only set for engines. */
  urgency: number | undefined;
  /** Id of the last event that the caller already has. */
  lastEventId: string | undefined;
  /** Address of an engine from which the upstream first fetches the cached parts of the prompt. */
  fetchFrom: string | undefined;
}

/** Load of an upstream, as it reports it. */
export interface ReportedLoad {
  /** Number of requests that it runs. */
  running: number;
  /** Number of requests that wait at it. */
  waiting: number;
  /** Time of a unit of work relative to the usual time; undefined if it does not report it. */
  slowdown: number | undefined;
}

/** The parsed headers of an upstream's response. */
export interface ResponseHeaders {
  /** Id of the request that the response belongs to. */
  requestId: string | undefined;
  /** Whether the upstream states that it has not run the request and never will. */
  isNotRun: boolean;
  /** Whether the response is from another upstream that now has the address. */
  isFromOtherUpstream: boolean;
  /** Whether the upstream's response seal is present; without it a response does not count as a success. */
  hasSeal: boolean;
  isEventStream: boolean;
  /** Undefined if the upstream does not report it. */
  load: ReportedLoad | undefined;
  /** Whether the upstream accepts further requests. */
  availability: AvailabilityNotice;
  /** Remaining time of the upstream's warm-up in milliseconds; undefined if it does not report it. */
  warmUpMs: number | undefined;
  /** Requests per second that the upstream can decline without failing; undefined if it states no limit. */
  declineLimit: number | undefined;
  /** Whether the upstream will close the connection. */
  closesConnection: boolean;
  /** Headers to forward to the caller, as alternating names and values. */
  forwardedHeaders: readonly string[];
}

/** Parses and writes headers; implemented by the adapter of a platform. */
export interface HeaderCodec {
  /** Parses the headers of a request.
   * @param rawHeaders Alternating names and values, as received. */
  readCaller(rawHeaders: readonly string[]): CallerHeaders;
  /** Writes the headers of a request to an upstream.
   * @param caller The parsed headers of the caller.
   * @param attemptHeaders The values that the system adds. */
  writeUpstream(
    caller: CallerHeaders,
    attemptHeaders: UpstreamHeaders,
  ): string[];
  /** Parses the headers of a response.
   * @param status Status code of the response.
   * @param headers Headers by lower-case name. */
  readResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHeaders;
}
