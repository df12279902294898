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
  /** Whether its first attempt began a response. */
  hasBegun: boolean;
  isInTouch: boolean;
}

/** Judges from the outside whether prompts that crash upstreams are withheld and others are served. */
export class CrashRule {
  private readonly disturbedUntil = new Map<number, number>();
  private readonly crashes = new Map<number, number[]>();
  private readonly arrivals: Arrival[] = [];
  /** Requests without a crashing part, by their ids. */
  private readonly soundRequests = new Map<string, SoundRequest>();

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
    { crashingPart, requestId }: VirtualPrompt,
    host: number,
    at: number,
    wasAdmitted: boolean,
  ): void {
    if (crashingPart !== undefined) return;
    const isInTouch = this.isInTouch(host, at);
    const request = { at, wasAdmitted, hasBegun: false, isInTouch };
    this.soundRequests.set(requestId, request);
  }

  /** Records that the first attempt of a request began a response. */
  recordBegin({ requestId }: VirtualPrompt): void {
    const request = this.soundRequests.get(requestId);
    if (request) request.hasBegun = true;
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
    return this.getFraction(from, ({ wasAdmitted }) => wasAdmitted);
  }

  /** Returns the fraction of sound requests at hosts without disturbance whose first attempt began a response, from twice
   * the contact time after the last crash of each part that counts; 1 if there were none. */
  getBegunFraction(): number {
    const knownAt = [...this.crashes.values()].map((times) =>
      times[KNOWN_CRASHES - 1] ?? times.at(-1)!
    );
    const from = Math.max(-Infinity, ...knownAt) + 2 * CONTACT_MS;
    return this.getFraction(from, ({ hasBegun }) => hasBegun);
  }

  private getFraction(
    from: number,
    isCounted: (request: SoundRequest) => boolean,
  ): number {
    const requests = [...this.soundRequests.values()].filter((
      { at, isInTouch },
    ) => isInTouch && at >= from);
    if (requests.length === 0) return 1;
    return requests.filter(isCounted).length / requests.length;
  }

  private isInTouch(host: number, at: number): boolean {
    return at - (this.disturbedUntil.get(host) ?? -Infinity) > CONTACT_MS;
  }
}
