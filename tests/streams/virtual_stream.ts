/** Maximum number of further attempts of a caller. */
const MAX_RETRIES = 3;

/** One stream as its caller sees it. */
export class VirtualStream {
  /** Distinct versions of the received events, in order. */
  readonly versions: string[] = [];
  /** Number of received events. */
  received = 0;
  /** Id of the request whose response contained the first event. */
  firstRequestId: string | undefined;
  /** Number of further attempts of the caller. */
  retries = 0;
  /** Resumes while two upstreams of its version served, and how many of them went on. */
  readonly resumes = { tried: 0, continued: 0 };
  /** Whether all hosts were down at once while it was in progress. */
  wasLostByAll = false;

  private constructor(private readonly events: number) {}

  /** Creates a stream without events.
   * @param events Number of its events. */
  static create(events: number): VirtualStream {
    return new VirtualStream(events);
  }

  /** Whether the caller has received an event, so that a further attempt resumes the stream. */
  get isResuming(): boolean {
    return this.received > 0;
  }

  get isComplete(): boolean {
    return this.received >= this.events;
  }

  get mayRetry(): boolean {
    return this.retries < MAX_RETRIES;
  }

  /** Records a received event.
   * @param requestId Id of the request whose response contains it.
   * @param version Version of the upstream that sent it. */
  recordEvent(requestId: string, version: string): void {
    this.received += 1;
    this.firstRequestId ??= requestId;
    if (!this.versions.includes(version)) this.versions.push(version);
  }

  /** Records whether a resume was accepted.
   * @param isContinued Whether it was. */
  recordResume(isContinued: boolean): void {
    this.resumes.tried += 1;
    if (isContinued) this.resumes.continued += 1;
  }
}
