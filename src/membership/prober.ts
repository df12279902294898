import {
  type CancelTimer,
  processTimeline,
  type Timeline,
} from "../clock/timeline.ts";

/** Callbacks of a prober. */
export interface ProberOptions {
  /** Sends a ping to the target. */
  sendPing: (target: string, nonce: number) => void;
  /** Asks other hosts to probe the target (indirect probe). */
  requestIndirectProbes: (target: string, nonce: number) => void;
  /** Called with a target that acknowledged neither the direct nor an indirect probe. */
  onProbeFailed: (target: string) => void;
}

interface PendingProbe {
  target: string;
  stopTimer: CancelTimer;
  onAcknowledged: (() => void) | undefined;
}

/** Probes hosts as in SWIM: a direct ping, then indirect probes through other hosts, then failure. */
export class Prober {
  private readonly pending = new Map<number, PendingProbe>();
  private nextNonce = 1;

  private constructor(
    private readonly timeoutMs: number,
    private readonly options: ProberOptions,
    private readonly timeline: Timeline,
  ) {}

  /** Creates a prober without pending probes.
   * @param timeoutMs Timeout of a direct ping; indirect probes get twice as long.
   * @param options Callbacks.
   * @param timeline Clock and timers to use; those of the process by default. */
  static create(
    timeoutMs: number,
    options: ProberOptions,
    timeline: Timeline = processTimeline,
  ): Prober {
    return new Prober(timeoutMs, options, timeline);
  }

  /** Starts a probe.
   * @param target Host to probe.
   * @param onAcknowledged Called when the target acknowledges the probe; given only for a probe on behalf of another
   * host. Such a probe is not followed by indirect probes, and its failure is not reported. */
  probe(target: string, onAcknowledged?: () => void): void {
    const nonce = this.nextNonce++;
    const stopTimer = this.timeline.after(
      this.timeoutMs,
      () => this.onDirectTimeout(nonce),
    );
    this.pending.set(nonce, { target, stopTimer, onAcknowledged });
    this.options.sendPing(target, nonce);
  }

  /** Whether a probe of a host is pending.
   * @param target The host. */
  isProbing(target: string): boolean {
    return [...this.pending.values()].some((probe) => probe.target === target);
  }

  /** Completes the probe that an acknowledgement belongs to; returns whether it belongs to a pending one.
   * @param id Host that was probed.
   * @param nonce Nonce of the probe. */
  complete(id: string, nonce: number): boolean {
    const pending = this.pending.get(nonce);
    if (!pending || pending.target !== id) return false;
    pending.stopTimer();
    this.pending.delete(nonce);
    pending.onAcknowledged?.();
    return true;
  }

  /** Cancels all pending probes. */
  close(): void {
    for (const pending of this.pending.values()) pending.stopTimer();
    this.pending.clear();
  }

  private onDirectTimeout(nonce: number): void {
    const pending = this.pending.get(nonce);
    if (!pending) return;
    if (pending.onAcknowledged) {
      this.pending.delete(nonce);
      return;
    }
    this.options.requestIndirectProbes(pending.target, nonce);
    pending.stopTimer = this.timeline.after(
      this.timeoutMs * 2,
      () => this.onIndirectTimeout(nonce),
    );
  }

  private onIndirectTimeout(nonce: number): void {
    const pending = this.pending.get(nonce);
    if (!pending) return;
    this.pending.delete(nonce);
    this.options.onProbeFailed(pending.target);
  }
}
