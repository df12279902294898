import {
  DONE_LINE,
  type EngineEvent,
  engineEventSchema,
} from "./engine_event.ts";

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
  private buffered = "";
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
    const pending = this.buffered + text;
    const lastSeparator = pending.lastIndexOf(EVENT_SEPARATOR);
    if (lastSeparator < 0) {
      this.buffered = pending;
      return {
        bytes: Buffer.alloc(0),
        events: [],
        done: this.hasEndMarker,
      };
    }
    const complete = pending.slice(0, lastSeparator + EVENT_SEPARATOR.length);
    this.buffered = pending.slice(lastSeparator + EVENT_SEPARATOR.length);
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
