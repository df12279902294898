import type { AvailabilityNotice } from "../upstreams/availability_notice.ts";

/** One part of a prompt that other requests may share. */
export interface PromptPart {
  /** Equal for equal parts. */
  id: string;
  tokens: number;
}

/** What a request tells of the prompt it brings to a model engine. */
export interface PromptOutline {
  model: string;
  /** The parts in order; the last belongs to the request or its chat alone. */
  parts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  promptTokens: number;
}

/** What the headers of a caller's request say. */
export interface CallerHeaders {
  /** Id of this request; undefined where the caller gave none or several. */
  requestId: string | undefined;
  /** Host that the request names; undefined where it names none or several. */
  host: string | undefined;
  /** Time for which the caller waits, in milliseconds. */
  remainingMs: number | undefined;
  /** Key of a customer. */
  key: string | undefined;
  /** Undefined where the request is not for a model engine. */
  prompt: PromptOutline | undefined;
  /** Id of the last event the caller has, where it resumes a stream. */
  lastEventId: string | undefined;
  /** Headers to pass on unchanged, as name and value by turns: neither those of one connection only nor those that
   * the system sets itself. */
  passedOn: readonly string[];
}

/** What the system tells an upstream with a request, beside the caller's own headers. */
export interface UpstreamHeaders {
  /** Upstream that is to run the request; any other refuses it. */
  upstreamId: string;
  /** Time that is left, in milliseconds. */
  remainingMs: number;
  /** Customer of the request's key. */
  customer: string | undefined;
  /** 0 is the most urgent; for engines only. */
  urgency: number | undefined;
  /** Id of the last event that the answer already has. */
  lastEventId: string | undefined;
  /** Address of an engine from which this one first takes what it keeps of the prompt. */
  fetchFrom: string | undefined;
}

/** Requests that an upstream has at the moment. */
export interface ReportedLoad {
  running: number;
  waiting: number;
}

/** What the headers of an upstream's answer say. */
export interface AnswerHeaders {
  /** Id of the request that the answer belongs to. */
  requestId: string | undefined;
  /** Whether the upstream says that it has not run the request and never will. */
  isNotRun: boolean;
  /** Whether another upstream has the address now. */
  isOtherUpstream: boolean;
  /** Whether the upstream's proof is there, without which an answer is not a success. */
  hasProof: boolean;
  isEventStream: boolean;
  /** Undefined where the upstream does not tell. */
  load: ReportedLoad | undefined;
  /** What it says of whether the upstream takes further requests. */
  availability: AvailabilityNotice;
  /** Whether the upstream will close the connection. */
  isClosing: boolean;
  /** Headers for the caller, as name and value by turns. */
  passedBack: readonly string[];
}

/** Translates between headers and what they say; an adapter implements it for one platform. */
export interface HeaderCodec {
  /** Reads the headers of a request.
   * @param rawHeaders Name and value by turns, as received. */
  readCaller(rawHeaders: readonly string[]): CallerHeaders;
  /** Writes the headers of a request to an upstream.
   * @param caller What the caller's headers said.
   * @param own What the system tells. */
  writeUpstream(caller: CallerHeaders, own: UpstreamHeaders): string[];
  /** Reads the headers of an answer.
   * @param status Status code of the answer.
   * @param headers Headers by lower-case name. */
  readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHeaders;
}
