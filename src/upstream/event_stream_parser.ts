import {
  DONE_LINE,
  type EngineEvent,
  engineEventSchema,
} from "./engine_event.ts";
import { MAX_EVENT_BYTES } from "../http/response_limits.ts";

const EVENT_SEPARATOR = "\n\n";
const DATA_PREFIX = "data: ";

/** Complete events parsed from a stream. */
export interface ParsedEvents {
  /** The events as received, including separators. */
  bytes: Buffer;
  events: EngineEvent[];
  /** Whether the end marker has been read. */
  done: boolean;
}

/** Splits a stream of server-sent events into complete events and checks that each belongs to one request. Throws if an
 * event names another request, is out of order, or follows the end marker. */
export class EventStreamParser {
  /** The incomplete event, as it arrived. */
  private pending: string[] = [];
  private pendingLength = 0;
  private hasEndMarker = false;

  private constructor(
    private readonly requestId: string,
    private nextIndex: number,
  ) {}

  /** Creates a parser.
   * @param requestId Request id that each event must contain.
   * @param firstIndex Index of the first expected event. */
  static create(requestId: string, firstIndex: number): EventStreamParser {
    return new EventStreamParser(requestId, firstIndex);
  }

  /** Parses the next chunk of the stream.
   * @param text The chunk; may start and end anywhere between characters.
   * @returns The events that this chunk completes. */
  push(text: string): ParsedEvents {
    const complete = this.takeComplete(text);
    const events: EngineEvent[] = [];
    for (const line of complete.split(EVENT_SEPARATOR)) {
      const event = line === "" ? undefined : this.parseLine(line);
      if (event) events.push(event);
    }
    return {
      bytes: Buffer.from(complete),
      events,
      done: this.hasEndMarker,
    };
  }

  /** Index of the next expected event. */
  get position(): number {
    return this.nextIndex;
  }

  /** Whether the end marker has been read. */
  get isDone(): boolean {
    return this.hasEndMarker;
  }

  /** Returns the complete events up to the end of the last one, and buffers the rest. Only the new text is searched. */
  private takeComplete(text: string): string {
    const lastCharacter = this.pending.at(-1)?.at(-1) ?? "";
    const at = (lastCharacter + text).lastIndexOf(EVENT_SEPARATOR);
    if (at < 0) {
      this.keep(text);
      return "";
    }
    const end = at - lastCharacter.length + EVENT_SEPARATOR.length;
    const complete = this.pending.join("") + text.slice(0, end);
    this.pending = [];
    this.pendingLength = 0;
    this.keep(text.slice(end));
    return complete;
  }

  private keep(text: string): void {
    if (text === "") return;
    this.pending.push(text);
    this.pendingLength += text.length;
    if (this.pendingLength > MAX_EVENT_BYTES) {
      throw new Error(`an event of more than ${MAX_EVENT_BYTES} characters`);
    }
  }

  private parseLine(line: string): EngineEvent | undefined {
    if (this.hasEndMarker) throw new Error("an event follows the end marker");
    if (line === DONE_LINE) {
      this.hasEndMarker = true;
      return undefined;
    }
    if (!line.startsWith(DATA_PREFIX)) {
      throw new Error("a line is not an event");
    }
    const event = engineEventSchema.parse(
      JSON.parse(line.slice(DATA_PREFIX.length)),
    );
    if (event.id !== this.requestId) {
      throw new Error(
        `an event of ${event.id} in the answer to ${this.requestId}`,
      );
    }
    if (event.index !== this.nextIndex) {
      throw new Error(
        `event ${event.index} where ${this.nextIndex} is due`,
      );
    }
    this.nextIndex += 1;
    return event;
  }
}
