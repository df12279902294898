/** Kinds of request that callers send. */
export type RequestKind = "look" | "book" | "chat" | "talk" | "version";

/** Rules for a kind of request, as published with its route. */
export interface KindRules {
  method: "GET" | "POST";
  service: string;
  isStream: boolean;
  mayRepeat: boolean;
  maxAttempts: number;
  timeoutMs: number;
}

/** Rules for requests to the plain service, which is not an engine. */
const PLAIN_SERVICE = {
  service: "plain",
  isStream: false,
  timeoutMs: 2_000,
} as const;
/** Rules for requests to engines. */
const ENGINE_SERVICE = {
  service: "engine",
  isStream: true,
  timeoutMs: 3_000,
} as const;
/** Rules for requests that may be sent again after an attempt that may have run. */
const REPEATABLE = { mayRepeat: true, maxAttempts: 2 } as const;
/** Rules for requests that must not be sent again after such an attempt. */
const NOT_REPEATABLE = { mayRepeat: false, maxAttempts: 1 } as const;

/** Rules for each kind of request. */
export const KIND_RULES: Readonly<Record<RequestKind, KindRules>> = {
  look: { method: "GET", ...PLAIN_SERVICE, ...REPEATABLE },
  book: { method: "POST", ...PLAIN_SERVICE, ...NOT_REPEATABLE },
  chat: { method: "POST", ...ENGINE_SERVICE, ...REPEATABLE },
  talk: { method: "POST", ...ENGINE_SERVICE, ...NOT_REPEATABLE },
  version: { method: "GET", ...PLAIN_SERVICE, ...REPEATABLE },
};

/** What a gateway states about a request that it refused. */
export interface GatewayRefusal {
  /** Error kind. */
  kind: string;
  /** Whether the request was run; `no` states that it was not and never will be. */
  ran: string | undefined;
  /** Value of `Retry-After`. */
  retryAfter: string | undefined;
}

/** One attempt of a caller and its response. Times are monotonic milliseconds of the soak process. */
export interface CallerAttempt {
  requestId: string;
  kind: RequestKind;
  path: string;
  body: string;
  /** Values of the prompt headers, which only callers set, separated by `|`, as the worker must receive them. */
  prompt: string;
  key: string;
  /** Version of the configuration that the path belongs to; defined for requests of kind `version` only. */
  version: number | undefined;
  /** Last event that the caller has received; 0 if the stream starts at its beginning. */
  afterEvent: number;
  /** Id of the attempt that received the first event of the stream; undefined unless the attempt resumes one. */
  resumes: string | undefined;
  gateway: string;
  /** Which start of the gateway's process the request was sent to, as a count of its starts. */
  life: number;
  sentAt: number;
  endedAt: number | undefined;
  status: number | undefined;
  /** Response seal of the worker; undefined if the response has none. */
  seal: string | undefined;
  /** Undefined unless a gateway refused the request. */
  refusal: GatewayRefusal | undefined;
  text: string;
  /** Whether the response ended normally. */
  isWhole: boolean;
  /** When the caller gave up and closed its connection; undefined if it did not. */
  gaveUpAt: number | undefined;
}

/** Fields of an attempt whose response has not arrived yet. */
export const NO_RESPONSE = {
  endedAt: undefined,
  status: undefined,
  seal: undefined,
  refusal: undefined,
  text: "",
  isWhole: false,
  gaveUpAt: undefined,
} as const;
