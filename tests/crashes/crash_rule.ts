import type { VirtualPrompt } from "./virtual_prompts.ts";

/** Number of crashes after which a part must be known. */
const KNOWN_CRASHES = 5;
/** Time after the last of them by which it must be known to hosts without disturbance for as long, in milliseconds. */
const CONTACT_MS = 3_000;

interface Arrival {
  part: number;
  at: number;
  isInTouch: boolean;
}

interface SoundRequest {
  at: number;
  wasAdmitted: boolean;
  isInTouch: boolean;
}

/** Judges from the outside whether prompts that crash upstreams are withheld and others are served. */
export class CrashRule {
  private readonly disturbedUntil = new Map<number, number>();
  private readonly crashes = new Map<number, number[]>();
  private readonly arrivals: Arrival[] = [];
  private readonly soundRequests: SoundRequest[] = [];

  private constructor() {}

  /** Creates a rule that has seen nothing. */
  static create(): CrashRule {
    return new CrashRule();
  }

  /** Number of upstreams that prompts have crashed. */
  get crashCount(): number {
    return [...this.crashes.values()].reduce(
      (sum, times) => sum + times.length,
      0,
    );
  }

  /** Records that a host is disturbed.
   * @param host Its index.
   * @param until Virtual milliseconds at which that ends. */
  recordDisturbance(host: number, until: number): void {
    const known = this.disturbedUntil.get(host) ?? -Infinity;
    this.disturbedUntil.set(host, Math.max(known, until));
  }

  /** Records a request at a host. */
  recordRequest(
    { crashingPart }: VirtualPrompt,
    host: number,
    at: number,
    wasAdmitted: boolean,
  ): void {
    if (crashingPart !== undefined) return;
    const isInTouch = this.isInTouch(host, at);
    this.soundRequests.push({ at, wasAdmitted, isInTouch });
  }

  /** Records that a prompt has reached an upstream. */
  recordArrival({ crashingPart }: VirtualPrompt, host: number, at: number) {
    if (crashingPart === undefined) return;
    const isInTouch = this.isInTouch(host, at);
    this.arrivals.push({ part: crashingPart, at, isInTouch });
  }

  /** Records that a part has crashed an upstream. */
  recordCrash(part: number, at: number): void {
    this.crashes.set(part, [...this.crashes.get(part) ?? [], at]);
  }

  /** Returns, for each crashing part, how many of its prompts reached upstreams too late. */
  countLate(): number[] {
    return [...this.crashes].map(([part, times]) => {
      const knownAt = (times[KNOWN_CRASHES - 1] ?? Infinity) + CONTACT_MS;
      return this.arrivals.filter((arrival) =>
        arrival.part === part && arrival.isInTouch && arrival.at > knownAt
      ).length;
    });
  }

  /** Returns the fraction of sound requests at hosts without disturbance that were sent to an upstream.
   * @param from Virtual milliseconds from which requests count. */
  getAdmittedFraction(from: number): number {
    const counted = this.soundRequests.filter(({ at, isInTouch }) =>
      isInTouch && at >= from
    );
    const admitted = counted.filter(({ wasAdmitted }) => wasAdmitted);
    return admitted.length / Math.max(1, counted.length);
  }

  private isInTouch(host: number, at: number): boolean {
    return at - (this.disturbedUntil.get(host) ?? -Infinity) > CONTACT_MS;
  }
}
