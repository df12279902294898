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
  timer: NodeJS.Timeout;
  onAcknowledged: (() => void) | undefined;
}

/** Probes routers: a ping, then pings through others, then silence. */
export class ProbeRound {
  private readonly pending = new Map<number, Pending>();
  private nextNonce = 1;

  private constructor(
    private readonly timeoutMs: number,
    private readonly options: ProbeRoundOptions,
  ) {}

  /** Creates the rounds of one router.
   * @param timeoutMs Time for a ping to be answered.
   * @param options What a round does to the outside. */
  static create(timeoutMs: number, options: ProbeRoundOptions): ProbeRound {
    return new ProbeRound(timeoutMs, options);
  }

  /** Starts a probe.
   * @param target The router to probe.
   * @param onAcknowledged Given for a probe on another's behalf; silence is then not reported. */
  probe(target: string, onAcknowledged?: () => void): void {
    const nonce = this.nextNonce++;
    const timer = setTimeout(() => this.onFirstTimeout(nonce), this.timeoutMs);
    this.pending.set(nonce, { target, timer, onAcknowledged });
    this.options.sendPing(target, nonce);
  }

  /** Records an acknowledgement; returns whether it belongs to a probe under way.
   * @param id The router that was heard.
   * @param nonce The probe's nonce. */
  acknowledge(id: string, nonce: number): boolean {
    const pending = this.pending.get(nonce);
    if (!pending || pending.target !== id) return false;
    clearTimeout(pending.timer);
    this.pending.delete(nonce);
    pending.onAcknowledged?.();
    return true;
  }

  /** Ends all probes. */
  close(): void {
    for (const pending of this.pending.values()) clearTimeout(pending.timer);
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
    pending.timer = setTimeout(
      () => this.onSecondTimeout(nonce),
      this.timeoutMs * 2,
    );
  }

  private onSecondTimeout(nonce: number): void {
    const pending = this.pending.get(nonce);
    if (!pending) return;
    this.pending.delete(nonce);
    this.options.onSilent(pending.target);
  }
}
