import type { CallerAnswer } from "./caller_answer.ts";
import type { AnswerHeaders } from "./caller_headers.ts";
import { EventSplitter } from "./event_splitter.ts";

/** Stops and goes on with reading an upstream's answer. */
export interface AnswerSource {
  pause(): void;
  resume(): void;
}

/** Head of an upstream's answer. */
export interface AnswerHead {
  status: number;
  answer: AnswerHeaders;
}

/** Passes an upstream's answer to the caller: a stream event by event, anything else when it is whole. */
export class AnswerRelay {
  private currentHead: AnswerHead | undefined;
  private body: Buffer[] = [];
  private splitter: EventSplitter | undefined;
  private eventId: string | undefined;
  private events = 0;
  private eventsBefore = 0;

  private constructor(
    private readonly answer: CallerAnswer,
    lastEventId: string | undefined,
  ) {
    this.eventId = lastEventId;
  }

  /** Creates a relay.
   * @param answer Where the answer is given.
   * @param lastEventId Id of the last event that the caller has, where it resumes a stream. */
  static create(
    answer: CallerAnswer,
    lastEventId: string | undefined,
  ): AnswerRelay {
    return new AnswerRelay(answer, lastEventId);
  }

  /** Head of the attempt's answer, or nothing before it. */
  get head(): AnswerHead | undefined {
    return this.currentHead;
  }

  /** Whether the attempt's answer is passed on event by event. */
  get isStream(): boolean {
    return this.splitter !== undefined;
  }

  /** Whether an event of the stream has begun and not ended. */
  get hasRest(): boolean {
    return this.splitter?.hasRest ?? false;
  }

  /** Id of the last event that the caller has. */
  get lastEventId(): string | undefined {
    return this.eventId;
  }

  /** Events passed on, by all attempts. */
  get eventsGiven(): number {
    return this.events;
  }

  /** Whether the attempt under way has brought an event that was passed on. */
  get isAnsweredInPart(): boolean {
    return this.events > this.eventsBefore;
  }

  /** Forgets what another attempt brought and was not passed on. */
  startAttempt(): void {
    this.currentHead = undefined;
    this.body = [];
    this.splitter = undefined;
    this.eventsBefore = this.events;
  }

  /** Takes the head of an answer.
   * @param head The head.
   * @param isStream Whether the answer is passed on event by event. */
  takeHead(head: AnswerHead, isStream: boolean): void {
    this.currentHead = head;
    if (isStream) this.splitter = EventSplitter.create();
  }

  /** Takes bytes of an answer's body.
   * @param bytes The bytes.
   * @param source Paused while the caller takes no more. */
  takeBytes(bytes: Buffer, source: AnswerSource | undefined): void {
    if (!this.splitter) {
      this.body.push(bytes);
      return;
    }
    for (const event of this.splitter.push(bytes)) {
      if (event.id !== undefined) this.eventId = event.id;
      this.giveEvent(event.bytes, source);
    }
  }

  /** Gives an answer that is no stream, once it is whole. */
  giveWhole(): void {
    const { status, answer } = this.currentHead!;
    this.answer.giveWhole(status, answer.passedBack, Buffer.concat(this.body));
  }

  /** Ends a stream as whole. */
  endStream(): void {
    this.beginStream();
    this.answer.endStream();
  }

  private giveEvent(bytes: Buffer, source: AnswerSource | undefined): void {
    this.beginStream();
    this.events += 1;
    const hasRoom = this.answer.write(bytes, () => source?.resume());
    if (!hasRoom) source?.pause();
  }

  /** Begins the stream to the caller, where no attempt before has. */
  private beginStream(): void {
    if (this.answer.hasStarted) return;
    const { status, answer } = this.currentHead!;
    this.answer.beginStream(status, withoutLength(answer.passedBack));
  }
}

/** Headers without a length, which a stream that may go on elsewhere can't promise. */
function withoutLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === "content-length") continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
