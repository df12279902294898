import type { AttemptResponse } from "./attempt_response.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { StreamEvents } from "./event_splitter.ts";

/** Pauses and resumes reading the response of an upstream. */
export interface ResponseSource {
  pause(): void;
  resume(): void;
}

/** Forwards responses of upstreams to the caller: an event stream event by event, anything else once it is complete. */
export class ResponseRelay {
  private lastId: string | undefined;
  private events = 0;

  private constructor(
    private readonly response: CallerResponse,
    lastEventId: string | undefined,
  ) {
    this.lastId = lastEventId;
  }

  /** Creates a relay.
   * @param response The response to the caller.
   * @param lastEventId Id of the last event that the caller has received, if it resumes a stream. */
  static create(
    response: CallerResponse,
    lastEventId: string | undefined,
  ): ResponseRelay {
    return new ResponseRelay(response, lastEventId);
  }

  /** Whether the head of the response to the caller has been written. */
  get hasStarted(): boolean {
    return this.response.hasStarted;
  }

  /** Id of the last event that was forwarded, or that the caller named when it resumed the stream. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether another attempt can follow: after events without an id, no upstream can be told where to continue. */
  get canContinue(): boolean {
    return this.events === 0 || this.lastId !== undefined;
  }

  /** Number of events forwarded by all attempts. */
  get eventsForwarded(): number {
    return this.events;
  }

  /** Processes bytes of an attempt's response; returns why they can't be forwarded, or undefined if they can.
   * @param response The response.
   * @param bytes The bytes.
   * @param source Paused while the caller's connection accepts no more data. */
  pushBytes(
    response: AttemptResponse,
    bytes: Buffer,
    source: ResponseSource | undefined,
  ): string | undefined {
    const { events, problem } = response.push(bytes);
    if (problem !== undefined) return problem;
    if (events && this.isRepeated(response, events.firstId)) {
      return `event ${events.firstId} is not after ${this.lastId}`;
    }
    if (events) this.forwardEvents(response, events, source);
    return response.hold();
  }

  /** Sends a complete response that is not a stream to the caller.
   * @param response The response. */
  sendComplete(response: AttemptResponse): void {
    const { status, headers } = response.head!;
    const body = response.takeBody();
    this.response.sendComplete(status, headers.forwardedHeaders, body);
  }

  /** Ends the stream to the caller as complete.
   * @param response The response that ends it. */
  endStream(response: AttemptResponse): void {
    this.beginStream(response);
    this.response.endStream();
  }

  /** Whether the first event of a continuation is not after the last one that was forwarded. */
  private isRepeated(
    { hasPartialResponse }: AttemptResponse,
    id: string | undefined,
  ): boolean {
    const isContinuation = this.events > 0 && !hasPartialResponse;
    return isContinuation && id !== undefined &&
      Number(id) <= Number(this.lastId);
  }

  private forwardEvents(
    response: AttemptResponse,
    { bytes, count, lastId }: StreamEvents,
    source: ResponseSource | undefined,
  ): void {
    this.lastId = lastId ?? this.lastId;
    this.beginStream(response);
    this.events += count;
    response.recordForwarded(count);
    const canWriteMore = this.response.write(bytes, () => source?.resume());
    if (!canWriteMore) source?.pause();
  }

  /** Begins the stream to the caller unless an earlier attempt has already begun it. */
  private beginStream(response: AttemptResponse): void {
    if (this.response.hasStarted) return;
    const { status, headers } = response.head!;
    this.response.beginStream(
      status,
      removeContentLength(headers.forwardedHeaders),
    );
  }
}

/** Returns headers without the content length, which is unknown if a stream may continue at another upstream. */
function removeContentLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === "content-length") continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
