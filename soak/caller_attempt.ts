/** The kinds of request that callers send. */
export type RequestKind = "look" | "book" | "chat" | "talk" | "version";

/** What a kind of request is allowed, as its route is published. */
export interface KindRules {
  method: "GET" | "POST";
  service: string;
  isStream: boolean;
  mayRepeat: boolean;
  maxAttempts: number;
  timeoutMs: number;
}

/** The rules of each kind. */
export const KIND_RULES: Readonly<Record<RequestKind, KindRules>> = {
  look: {
    method: "GET",
    service: "plain",
    isStream: false,
    mayRepeat: true,
    maxAttempts: 2,
    timeoutMs: 2_000,
  },
  book: {
    method: "POST",
    service: "plain",
    isStream: false,
    mayRepeat: false,
    maxAttempts: 1,
    timeoutMs: 2_000,
  },
  chat: {
    method: "POST",
    service: "engine",
    isStream: true,
    mayRepeat: true,
    maxAttempts: 2,
    timeoutMs: 3_000,
  },
  talk: {
    method: "POST",
    service: "engine",
    isStream: true,
    mayRepeat: false,
    maxAttempts: 1,
    timeoutMs: 3_000,
  },
  version: {
    method: "GET",
    service: "plain",
    isStream: false,
    mayRepeat: true,
    maxAttempts: 2,
    timeoutMs: 2_000,
  },
};

/** One sending of a request by a caller, and what came back; times are monotonic milliseconds of the soak's process. */
export interface CallerAttempt {
  requestId: string;
  kind: RequestKind;
  path: string;
  body: string;
  /** Headers that only callers set, as the worker is to see them. */
  prompt: string;
  key: string;
  /** Version of the configuration that the path is about, for requests of that kind. */
  version: number | undefined;
  afterEvent: number;
  gateway: string;
  /** Number of the start of the gateway's process to which the connection goes. */
  life: number;
  sentAt: number;
  endedAt: number | undefined;
  status: number | undefined;
  seal: string | undefined;
  text: string;
  /** Whether the answer came to a proper end. */
  isWhole: boolean;
  /** When the caller closed its connection by itself. */
  gaveUpAt: number | undefined;
}
