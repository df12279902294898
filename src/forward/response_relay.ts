import type { CallerResponse } from "./caller_response.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { EventSplitter } from "./event_splitter.ts";

/** Pauses and resumes reading the response of an upstream. */
export interface ResponseSource {
  pause(): void;
  resume(): void;
}

/** Status and headers of an upstream's response. */
export interface ResponseHead {
  status: number;
  headers: ResponseHeaders;
}

/** Forwards responses of upstreams to the caller: an event stream event by event, anything else once it is complete. */
export class ResponseRelay {
  private currentHead: ResponseHead | undefined;
  private body: Buffer[] = [];
  private splitter: EventSplitter | undefined;
  private lastId: string | undefined;
  private events = 0;
  private forwardedEventsBefore = 0;

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

  /** Status and headers of the current attempt's response; undefined before they arrive. */
  get head(): ResponseHead | undefined {
    return this.currentHead;
  }

  /** Whether the current attempt's response is forwarded event by event. */
  get isStream(): boolean {
    return this.splitter !== undefined;
  }

  /** Whether part of an event has been received. */
  get hasIncompleteEvent(): boolean {
    return this.splitter?.hasIncompleteEvent ?? false;
  }

  /** Id of the last event that was forwarded, or that the caller named when it resumed the stream. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Number of events forwarded by all attempts. */
  get eventsForwarded(): number {
    return this.events;
  }

  /** Number of events forwarded by the current attempt. */
  get attemptEvents(): number {
    return this.events - this.forwardedEventsBefore;
  }

  /** Whether an event of the current attempt has been forwarded. */
  get hasPartialResponse(): boolean {
    return this.attemptEvents > 0;
  }

  /** Starts a new attempt and discards what the previous one received but did not forward. */
  startAttempt(): void {
    this.currentHead = undefined;
    this.body = [];
    this.splitter = undefined;
    this.forwardedEventsBefore = this.events;
  }

  /** Sets the status and headers of the current attempt's response.
   * @param head Status and headers.
   * @param isStream Whether the response is forwarded event by event. */
  setHead(head: ResponseHead, isStream: boolean): void {
    this.currentHead = head;
    if (isStream) this.splitter = EventSplitter.create();
  }

  /** Processes bytes of the response body; returns why they can't be forwarded, or undefined if they can.
   * @param bytes The bytes.
   * @param source Paused while the caller's connection accepts no more data. */
  pushBytes(
    bytes: Buffer,
    source: ResponseSource | undefined,
  ): string | undefined {
    if (!this.splitter) {
      this.body.push(bytes);
      return undefined;
    }
    for (const event of this.splitter.push(bytes)) {
      if (this.isRepeated(event.id)) {
        return `event ${event.id} repeats what precedes ${this.lastId}`;
      }
      if (event.id !== undefined) this.lastId = event.id;
      this.forwardEvent(event.bytes, source);
    }
    return undefined;
  }

  /** Sends a complete response that is not a stream to the caller. */
  sendComplete(): void {
    const { status, headers } = this.currentHead!;
    this.response.sendComplete(
      status,
      headers.forwardedHeaders,
      Buffer.concat(this.body),
    );
  }

  /** Ends the stream to the caller as complete. */
  endStream(): void {
    this.beginStream();
    this.response.endStream();
  }

  /** Whether the first event of a continuation is not after the last one that was forwarded. */
  private isRepeated(id: string | undefined): boolean {
    const isContinuation = this.forwardedEventsBefore > 0;
    if (!isContinuation || this.hasPartialResponse) return false;
    return id !== undefined && Number(id) <= Number(this.lastId);
  }

  private forwardEvent(
    bytes: Buffer,
    source: ResponseSource | undefined,
  ): void {
    this.beginStream();
    this.events += 1;
    const canWriteMore = this.response.write(bytes, () => source?.resume());
    if (!canWriteMore) source?.pause();
  }

  /** Begins the stream to the caller unless an earlier attempt has already begun it. */
  private beginStream(): void {
    if (this.response.hasStarted) return;
    const { status, headers } = this.currentHead!;
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
