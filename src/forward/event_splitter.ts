/** The empty line that ends an event, for each kind of line ending. */
const EVENT_TERMINATORS = [Buffer.from("\n\n"), Buffer.from("\r\n\r\n")];
/** Prefix of the line with the id of an event. */
const ID_FIELD_PREFIX = "id:";

/** One complete event of a stream. */
export interface StreamEvent {
  bytes: Buffer;
  /** Id of the event, if it has one. */
  id: string | undefined;
}

/** Splits the bytes of an event stream into complete events and buffers an incomplete one. */
export class EventSplitter {
  private incompleteEvent: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Creates a splitter. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether part of an event is buffered. */
  get hasIncompleteEvent(): boolean {
    return this.incompleteEvent.length > 0;
  }

  /** Adds bytes and returns the events that they complete.
   * @param bytes The bytes. */
  push(bytes: Buffer): StreamEvent[] {
    let pending = this.incompleteEvent.length === 0
      ? bytes
      : Buffer.concat([this.incompleteEvent, bytes]);
    const events: StreamEvent[] = [];
    let end = findEventEnd(pending);
    while (end !== undefined) {
      const event = pending.subarray(0, end);
      events.push({ bytes: event, id: readId(event) });
      pending = pending.subarray(end);
      end = findEventEnd(pending);
    }
    this.incompleteEvent = pending;
    return events;
  }
}

/** Returns the offset after the first complete event; undefined if there is none. */
function findEventEnd(bytes: Buffer): number | undefined {
  const ends = EVENT_TERMINATORS.map((terminator) => ({
    terminator,
    at: bytes.indexOf(terminator),
  }))
    .filter(({ at }) => at >= 0)
    .map(({ terminator, at }) => at + terminator.length);
  return ends.length === 0 ? undefined : Math.min(...ends);
}

function readId(event: Buffer): string | undefined {
  const line = event.toString("latin1").split("\n").find((field) =>
    field.startsWith(ID_FIELD_PREFIX)
  );
  return line?.slice(ID_FIELD_PREFIX.length).trim();
}
