import {
  DONE_LINE,
  type EngineEvent,
  engineEventSchema,
} from "./engine_event.ts";

const EVENT_SEPARATOR = "\n\n";
const DATA_PREFIX = "data: ";

/** Whole events cut from a stream. */
export interface ParsedEvents {
  /** The events as they came, separators included. */
  bytes: Buffer;
  events: EngineEvent[];
  /** Whether the end marker was among them. */
  done: boolean;
}

/** Cuts a stream of server-sent events into whole events and checks that each belongs to one request.
 * Throws where an event names another request, is out of order, or follows the end marker. */
export class EventStreamParser {
  private buffered = "";
  private hasReadEndMarker = false;

  private constructor(
    private readonly requestId: string,
    private nextIndex: number,
  ) {}

  /** Creates a parser.
   * @param requestId Id that each event must name.
   * @param firstIndex Number of the first event expected. */
  static create(requestId: string, firstIndex: number): EventStreamParser {
    return new EventStreamParser(requestId, firstIndex);
  }

  /** Takes more of the stream.
   * @param text The next part, cut anywhere between characters.
   * @returns The events that are whole now. */
  push(text: string): ParsedEvents {
    const all = this.buffered + text;
    const end = all.lastIndexOf(EVENT_SEPARATOR);
    if (end < 0) {
      this.buffered = all;
      return {
        bytes: Buffer.alloc(0),
        events: [],
        done: this.hasReadEndMarker,
      };
    }
    const whole = all.slice(0, end + EVENT_SEPARATOR.length);
    this.buffered = all.slice(end + EVENT_SEPARATOR.length);
    const events: EngineEvent[] = [];
    for (const line of whole.split(EVENT_SEPARATOR)) {
      const event = line === "" ? undefined : this.parseLine(line);
      if (event) events.push(event);
    }
    return { bytes: Buffer.from(whole), events, done: this.hasReadEndMarker };
  }

  /** Number of the next event expected. */
  get position(): number {
    return this.nextIndex;
  }

  /** Whether the end marker was read. */
  get isDone(): boolean {
    return this.hasReadEndMarker;
  }

  private parseLine(line: string): EngineEvent | undefined {
    if (this.hasReadEndMarker) {
      throw new Error("an event follows the end marker");
    }
    if (line === DONE_LINE) {
      this.hasReadEndMarker = true;
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
      throw new Error(`event ${event.index} where ${this.nextIndex} is due`);
    }
    this.nextIndex += 1;
    return event;
  }
}
