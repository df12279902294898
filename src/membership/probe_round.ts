import {
  processTimeline,
  type StopTimer,
  type Timeline,
} from "../clock/timeline.ts";

/** What a probe round does to the outside. */
export interface ProbeRoundOptions {
  /** Sends a ping to a router. */
  sendPing: (target: string, nonce: number) => void;
  /** Asks other routers to ping the target. */
  sendRelays: (target: string, nonce: number) => void;
  /** Told of a target that answered neither directly nor through others. */
  onSilent: (target: string) => void;
}

interface Pending {
  target: string;
  stopTimer: StopTimer;
  onAcknowledged: (() => void) | undefined;
}

/** Probes routers: a ping, then pings through others, then silence. */
export class ProbeRound {
  private readonly pending = new Map<number, Pending>();
  private nextNonce = 1;

  private constructor(
    private readonly timeoutMs: number,
    private readonly options: ProbeRoundOptions,
    private readonly timeline: Timeline,
  ) {}

  /** Creates the rounds of one router.
   * @param timeoutMs Time for a ping to be answered.
   * @param options What a round does to the outside.
   * @param timeline Where timers are set; the process's by default. */
  static create(
    timeoutMs: number,
    options: ProbeRoundOptions,
    timeline: Timeline = processTimeline,
  ): ProbeRound {
    return new ProbeRound(timeoutMs, options, timeline);
  }

  /** Starts a probe.
   * @param target The router to probe.
   * @param onAcknowledged Given for a probe on another's behalf; silence is then not reported. */
  probe(target: string, onAcknowledged?: () => void): void {
    const nonce = this.nextNonce++;
    const stopTimer = this.timeline.after(
      this.timeoutMs,
      () => this.onFirstTimeout(nonce),
    );
    this.pending.set(nonce, { target, stopTimer, onAcknowledged });
    this.options.sendPing(target, nonce);
  }

  /** Whether a probe of a router is under way.
   * @param target The router. */
  isProbing(target: string): boolean {
    return [...this.pending.values()].some((probe) => probe.target === target);
  }

  /** Records an acknowledgement; returns whether it belongs to a probe under way.
   * @param id The router that was heard.
   * @param nonce The probe's nonce. */
  acknowledge(id: string, nonce: number): boolean {
    const pending = this.pending.get(nonce);
    if (!pending || pending.target !== id) return false;
    pending.stopTimer();
    this.pending.delete(nonce);
    pending.onAcknowledged?.();
    return true;
  }

  /** Ends all probes. */
  close(): void {
    for (const pending of this.pending.values()) pending.stopTimer();
    this.pending.clear();
  }

  private onFirstTimeout(nonce: number): void {
    const pending = this.pending.get(nonce);
    if (!pending) return;
    if (pending.onAcknowledged) {
      this.pending.delete(nonce);
      return;
    }
    this.options.sendRelays(pending.target, nonce);
    pending.stopTimer = this.timeline.after(
      this.timeoutMs * 2,
      () => this.onSecondTimeout(nonce),
    );
  }

  private onSecondTimeout(nonce: number): void {
    const pending = this.pending.get(nonce);
    if (!pending) return;
    this.pending.delete(nonce);
    this.options.onSilent(pending.target);
  }
}
