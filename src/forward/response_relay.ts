import type { CallerResponse } from "./caller_response.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { ByteAccumulator } from "../http/byte_accumulator.ts";
import {
  MAX_BODY_BYTES,
  MAX_EVENT_BYTES,
  MAX_STREAM_EVENTS,
} from "../http/response_limits.ts";
import { EventSplitter, type StreamEvents } from "./event_splitter.ts";
import type { ResponseHolder, ResponseMemory } from "./response_memory.ts";

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

/** Dependencies of a {@link ResponseRelay}. */
export interface ResponseRelayOptions {
  /** The response to the caller. */
  response: CallerResponse;
  /** Id of the last event that the caller has received, if it resumes a stream. */
  lastEventId: string | undefined;
  /** Limits what all relays hold together. */
  memory: ResponseMemory;
  /** Called if the current attempt's response was discarded because all relays together hold too much. */
  onEvicted: (problem: string) => void;
}

/** Forwards responses of upstreams to the caller: an event stream event by event, anything else once it is complete. */
export class ResponseRelay implements ResponseHolder {
  private currentHead: ResponseHead | undefined;
  private readonly body = ByteAccumulator.create();
  private splitter: EventSplitter | undefined;
  private lastId: string | undefined;
  private events = 0;
  private forwardedEventsBefore = 0;

  private constructor(private readonly options: ResponseRelayOptions) {
    this.lastId = options.lastEventId;
  }

  /** Creates a relay.
   * @param options Its dependencies. */
  static create(options: ResponseRelayOptions): ResponseRelay {
    return new ResponseRelay(options);
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
    return (this.splitter?.incompleteBytes ?? 0) > 0;
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
    this.discard();
    this.currentHead = undefined;
    this.forwardedEventsBefore = this.events;
  }

  /** Discards what was received but not forwarded. */
  discard(): void {
    this.body.clear();
    this.splitter?.close();
    this.splitter = undefined;
    this.options.memory.release(this);
  }

  /** @internal */
  evict(): void {
    this.options.onEvicted("all responses together hold too much memory");
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
    const problem = this.splitter
      ? this.pushStreamBytes(this.splitter, bytes, source)
      : this.pushBodyBytes(bytes);
    if (problem !== undefined) return problem;
    const heldBytes = this.splitter?.incompleteBytes ?? this.body.length;
    return this.options.memory.hold(this, heldBytes)
      ? undefined
      : "it is the largest of too many responses in memory";
  }

  /** Sends a complete response that is not a stream to the caller. */
  sendComplete(): void {
    const { status, headers } = this.currentHead!;
    this.options.response.sendComplete(
      status,
      headers.forwardedHeaders,
      this.body.take(),
    );
  }

  /** Ends the stream to the caller as complete. */
  endStream(): void {
    this.beginStream();
    this.options.response.endStream();
  }

  private pushBodyBytes(bytes: Buffer): string | undefined {
    if (this.body.length + bytes.length > MAX_BODY_BYTES) {
      return `a body of more than ${MAX_BODY_BYTES} bytes`;
    }
    this.body.append(bytes);
    return undefined;
  }

  private pushStreamBytes(
    splitter: EventSplitter,
    bytes: Buffer,
    source: ResponseSource | undefined,
  ): string | undefined {
    const events = splitter.push(bytes);
    if (splitter.incompleteBytes > MAX_EVENT_BYTES) {
      return `an event of more than ${MAX_EVENT_BYTES} bytes`;
    }
    if (!events) return undefined;
    if (this.isRepeated(events.firstId)) {
      return `event ${events.firstId} is not after ${this.lastId}`;
    }
    if (this.attemptEvents + events.count > MAX_STREAM_EVENTS) {
      return `more than ${MAX_STREAM_EVENTS} events`;
    }
    this.forwardEvents(events, source);
    return undefined;
  }

  /** Whether the first event of a continuation is not after the last one that was forwarded. */
  private isRepeated(id: string | undefined): boolean {
    const isContinuation = this.forwardedEventsBefore > 0;
    if (!isContinuation || this.hasPartialResponse) return false;
    return id !== undefined && Number(id) <= Number(this.lastId);
  }

  private forwardEvents(
    { bytes, count, lastId }: StreamEvents,
    source: ResponseSource | undefined,
  ): void {
    this.lastId = lastId ?? this.lastId;
    this.beginStream();
    this.events += count;
    const { response } = this.options;
    const canWriteMore = response.write(bytes, () => source?.resume());
    if (!canWriteMore) source?.pause();
  }

  /** Begins the stream to the caller unless an earlier attempt has already begun it. */
  private beginStream(): void {
    if (this.options.response.hasStarted) return;
    const { status, headers } = this.currentHead!;
    this.options.response.beginStream(
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
