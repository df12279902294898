import { ByteAccumulator } from "../http/byte_accumulator.ts";
import {
  MAX_BODY_BYTES,
  MAX_EVENT_BYTES,
  MAX_STREAM_EVENTS,
} from "../http/response_limits.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { EventSplitter, type StreamEvents } from "./event_splitter.ts";
import type { ResponseHolder, ResponseMemory } from "./response_memory.ts";

/** Status and headers of an upstream's response. */
export interface ResponseHead {
  status: number;
  headers: ResponseHeaders;
}

/** Dependencies of an {@link AttemptResponse}. */
export interface AttemptResponseOptions {
  /** Limits what all responses hold together. */
  memory: ResponseMemory;
  /** Called if the response was discarded because all responses together hold too much. */
  onEvicted: (problem: string) => void;
}

/** What bytes of a response show: events that they complete, or why the response can't be passed on. */
export interface ReceivedBytes {
  events?: StreamEvents;
  problem?: string;
}

/** The response of one attempt, as far as it was received and not yet forwarded. */
export class AttemptResponse implements ResponseHolder {
  private receivedHead: ResponseHead | undefined;
  private readonly body = ByteAccumulator.create();
  private splitter: EventSplitter | undefined;
  private events = 0;

  private constructor(private readonly options: AttemptResponseOptions) {}

  /** Creates a response of which nothing was received.
   * @param options Its dependencies. */
  static create(options: AttemptResponseOptions): AttemptResponse {
    return new AttemptResponse(options);
  }

  /** Status and headers; undefined before they arrive. */
  get head(): ResponseHead | undefined {
    return this.receivedHead;
  }

  /** Whether the response is forwarded event by event. */
  get isStream(): boolean {
    return this.splitter !== undefined;
  }

  /** Whether part of an event has been received. */
  get hasIncompleteEvent(): boolean {
    return (this.splitter?.incompleteBytes ?? 0) > 0;
  }

  /** Number of its events that were forwarded. */
  get eventsForwarded(): number {
    return this.events;
  }

  /** Whether an event was forwarded. */
  get hasPartialResponse(): boolean {
    return this.events > 0;
  }

  /** Sets the status and headers.
   * @param head Status and headers.
   * @param isStream Whether the response is forwarded event by event. */
  setHead(head: ResponseHead, isStream: boolean): void {
    this.receivedHead = head;
    if (isStream) this.splitter = EventSplitter.create();
  }

  /** Adds bytes of the body.
   * @param bytes The bytes. */
  push(bytes: Buffer): ReceivedBytes {
    return this.splitter
      ? this.pushStreamBytes(this.splitter, bytes)
      : this.pushBodyBytes(bytes);
  }

  /** Records that events were forwarded.
   * @param count Their number. */
  recordForwarded(count: number): void {
    this.events += count;
  }

  /** Records in the memory how much is held; returns why it can't be held, or undefined if it can. */
  hold(): string | undefined {
    const heldBytes = this.splitter?.incompleteBytes ?? this.body.length;
    return this.options.memory.hold(this, heldBytes)
      ? undefined
      : "it is the largest of too many responses in memory";
  }

  /** Removes and returns the body of a response that is no stream. */
  takeBody(): Buffer {
    return this.body.take();
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

  private pushBodyBytes(bytes: Buffer): ReceivedBytes {
    if (this.body.length + bytes.length > MAX_BODY_BYTES) {
      return { problem: `a body of more than ${MAX_BODY_BYTES} bytes` };
    }
    this.body.append(bytes);
    return {};
  }

  private pushStreamBytes(
    splitter: EventSplitter,
    bytes: Buffer,
  ): ReceivedBytes {
    const events = splitter.push(bytes);
    if (splitter.incompleteBytes > MAX_EVENT_BYTES) {
      return { problem: `an event of more than ${MAX_EVENT_BYTES} bytes` };
    }
    if (events && this.events + events.count > MAX_STREAM_EVENTS) {
      return { problem: `more than ${MAX_STREAM_EVENTS} events` };
    }
    return { events };
  }
}
