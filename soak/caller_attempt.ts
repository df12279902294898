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

/** What services that are no engines answer. */
const PLAIN = {
  service: "plain",
  isStream: false,
  timeoutMs: 2_000,
} as const;
/** What engines answer. */
const ENGINE = {
  service: "engine",
  isStream: true,
  timeoutMs: 3_000,
} as const;
/** What may be sent again after an attempt that may have run. */
const REPEATABLE = { mayRepeat: true, maxAttempts: 2 } as const;
/** What may not. */
const ONCE = { mayRepeat: false, maxAttempts: 1 } as const;

/** The rules of each kind. */
export const KIND_RULES: Readonly<Record<RequestKind, KindRules>> = {
  look: { method: "GET", ...PLAIN, ...REPEATABLE },
  book: { method: "POST", ...PLAIN, ...ONCE },
  chat: { method: "POST", ...ENGINE, ...REPEATABLE },
  talk: { method: "POST", ...ENGINE, ...ONCE },
  version: { method: "GET", ...PLAIN, ...REPEATABLE },
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
  /** Last event that the caller has, 0 where the stream starts at its beginning. */
  afterEvent: number;
  gateway: string;
  /** Number of the start of the gateway's process to which the connection goes. */
  life: number;
  sentAt: number;
  endedAt: number | undefined;
  status: number | undefined;
  /** Worker's seal on the answer, where it has one. */
  seal: string | undefined;
  text: string;
  /** Whether the answer came to a proper end. */
  isWhole: boolean;
  /** When the caller closed its connection by itself. */
  gaveUpAt: number | undefined;
}

/** What an attempt holds of its answer before one came. */
export const NO_ANSWER = {
  endedAt: undefined,
  status: undefined,
  seal: undefined,
  text: "",
  isWhole: false,
  gaveUpAt: undefined,
} as const;
