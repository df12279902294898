import {
  setImmediate as nextTurn,
  setTimeout as delay,
} from "node:timers/promises";
import { readClock } from "../clock/clock.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { HealthSignal } from "../upstreams/upstream_health.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import { isPrefillCostly } from "./is_prefill_costly.ts";
import type { RoutedCall } from "./routed_call.ts";
import { type Silence, SilenceDetector } from "./silence_detector.ts";

/** Maximum time that a request waits for the check of a path before it is sent elsewhere, in milliseconds; enough to ask
 * another host. */
const MAX_PATH_CHECK_WAIT_MS = 150;

/** Silence of an upstream that no host reaches after which a request leaves it, in milliseconds. */
const MIN_LOST_MS = 200;

/** Dependencies and callbacks of a {@link SilenceHandler}. */
export interface SilenceHandlerOptions {
  call: RoutedCall;
  context: Pick<CallForwarderContext, "checkPath" | "recordHealth">;
  /** The upstream of the attempt. */
  upstream: Upstream;
  /** Whether a silence shows nothing, because the response is not being read. */
  isReadingPaused: () => boolean;
  /** Logs a silence. */
  logSilence: (silentMs: number) => void;
  /** Sends the request elsewhere, if the attempt is still in progress and the request may run again. */
  sendElsewhere: (silentMs: number, cause: RepeatCause) => void;
}

/** Handles the silences of the upstream of an attempt: records them, and has the request sent elsewhere if its response
 * is likely lost. */
export class SilenceHandler {
  private detector: SilenceDetector | undefined;
  /** Whether the upstream of the attempt was silent for too long, for all requests. */
  private wasSilent = false;

  private constructor(private readonly options: SilenceHandlerOptions) {}

  /** Creates a handler of an attempt that is not monitored.
   * @param options Its dependencies and callbacks. */
  static create(options: SilenceHandlerOptions): SilenceHandler {
    return new SilenceHandler(options);
  }

  /** What a complete response of the attempt shows about the health of its upstream. */
  get successSignal(): HealthSignal {
    return this.wasSilent ? "recovered" : "good";
  }

  /** Starts monitoring the attempt, which is about to be sent or has just received bytes. */
  watch(): void {
    this.close();
    const { upstream, call } = this.options;
    this.detector = SilenceDetector.create(upstream, call.route, {
      onOverdue: (silence) => this.onOverdue(silence),
      onSilence: (silence) => this.onSilence(silence),
    });
  }

  /** Records that bytes of the response body arrived. */
  recordBytes(): void {
    this.detector?.recordBytes();
  }

  /** Sends the request elsewhere because no host reaches its upstream any more, if that has been silent for a while. */
  leaveLost(): void {
    const silentMs = this.detector?.silentMs ?? 0;
    if (this.options.isReadingPaused() || silentMs < MIN_LOST_MS) return;
    this.options.sendElsewhere(silentMs, "lost");
  }

  /** Stops monitoring. */
  close(): void {
    this.detector?.close();
  }

  /** Records a silent upstream as unhealthy, and sends the request elsewhere if the upstream is likely stuck. */
  private onSilence({ silentMs, isComplete, isLikelyStuck }: Silence): void {
    const { context, upstream, isReadingPaused, logSilence } = this.options;
    if (isReadingPaused()) return;
    logSilence(silentMs);
    this.wasSilent ||= isComplete;
    context.recordHealth(upstream, "silent");
    if (isLikelyStuck) void this.sendElsewhereAfterCheck(silentMs);
  }

  /** Sends the request elsewhere because its response may be lost, unless a second prefill of its prompt is costly. */
  private onOverdue({ silentMs, isLikelyStuck }: Silence): void {
    if (isPrefillCostly(this.options.call)) return;
    if (isLikelyStuck) void this.sendElsewhereAfterCheck(silentMs);
    else this.options.sendElsewhere(silentMs, "overdue");
  }

  /** Sends the request elsewhere once it is known whether this host has lost its path to the upstream, since it has then
   * likely lost others too; unless the upstream responds meanwhile. Does not wait long for the check. */
  private async sendElsewhereAfterCheck(silentMs: number): Promise<void> {
    const { detector, options: { upstream } } = this;
    const checkedAt = readClock();
    await Promise.race([
      this.options.context.checkPath(upstream),
      delay(MAX_PATH_CHECK_WAIT_MS, undefined, { ref: false }),
    ]);
    // If this process was late, what has arrived meanwhile is read first.
    await nextTurn();
    if (detector?.hasReceivedSince(checkedAt)) return;
    this.options.sendElsewhere(silentMs, "stuck");
  }
}
