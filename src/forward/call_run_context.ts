import type { Logger } from "../logging/logger.ts";
import type { HealthSign } from "../upstreams/upstream_health.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { PromptPlace } from "./call_log.ts";
import type { CallRun } from "./call_run.ts";
import type { HeaderCodec } from "./caller_headers.ts";
import type { RoutedCall } from "./routed_call.ts";

/** How a run ended. */
export interface CallOutcome {
  result: "answered" | "refused" | "broken_off" | "caller_gone";
  /** Status or count of events of the answer, or why there is none. */
  detail: string;
  durationMs: number;
  /** Upstreams that were chosen for the request. */
  attempts: number;
}

/** What a run needs of those who know the upstreams. */
export interface UpstreamAccess {
  /** Chooses an upstream for a call, leaving out those tried. */
  choose: (
    call: RoutedCall,
    tried: ReadonlySet<string>,
  ) => UpstreamChoice | undefined;
  /** Time after which a caller that is refused may come back, in milliseconds; undefined where no upstream's word tells. */
  getRetryAfterMs: (service: string) => number | undefined;
  /** What an engine keeps of a call's prompt, and from where it should fetch the rest; records that it is sent there. */
  placePrompt: (call: RoutedCall, target: Upstream) => PromptPlace | undefined;
  /** Told of each send; returns what was known of the requests on the upstream. */
  noteSend: (choice: UpstreamChoice) => LoadSnapshot;
  /** Told of each whole answer, with the milliseconds since the request was sent. */
  noteCompleted: (call: RoutedCall, durationMs: number) => void;
  /** Takes a retry from the budget of a service; returns whether there was one. */
  spendRetry: (service: string) => boolean;
  /** Told how an attempt ended, as far as the upstream's health goes. */
  noteHealth: (upstream: Upstream, sign: HealthSign) => void;
  /** Told that an upstream's address belongs to another now. */
  noteMoved: (upstream: Upstream) => void;
}

/** What a run tells and asks of the crashes that a request may cause. */
export interface CrashAccess {
  /** Whether a request that failed may be sent to another upstream. */
  maySendAgain: (fingerprint: number) => boolean;
  /** Told of an attempt whose connection ended before its answer did. */
  noteBroken: (
    upstream: Upstream,
    fingerprint: number,
    isAnsweredInPart: boolean,
  ) => void;
  /** Told of a request that an upstream ran to its end, whatever the answer. */
  noteServed: (fingerprint: number) => void;
}

/** What a run needs of the rest of the process. */
export interface CallRunContext extends UpstreamAccess {
  logger: Logger;
  codec: HeaderCodec;
  crashes: CrashAccess;
  /** Told when the run is over. */
  onEnd: (run: CallRun, outcome: CallOutcome) => void;
}
