/** Ends of an event, an empty line, with either end of line. */
const EVENT_ENDS = [Buffer.from("\n\n"), Buffer.from("\r\n\r\n")];
/** Begins the line of an event that holds its id. */
const ID_FIELD = "id:";

/** One whole event of a stream, as its bytes. */
export interface StreamEvent {
  bytes: Buffer;
  /** Its id, where it has one. */
  id: string | undefined;
}

/** Cuts the bytes of an event stream into whole events; what has not ended yet is kept back. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Creates a splitter. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an event that has not ended are kept back. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Takes bytes and returns the events that they complete.
   * @param bytes The bytes. */
  push(bytes: Buffer): StreamEvent[] {
    let pending = this.rest.length === 0
      ? bytes
      : Buffer.concat([this.rest, bytes]);
    const events: StreamEvent[] = [];
    let end = findEventEnd(pending);
    while (end !== undefined) {
      const event = pending.subarray(0, end);
      events.push({ bytes: event, id: readId(event) });
      pending = pending.subarray(end);
      end = findEventEnd(pending);
    }
    this.rest = pending;
    return events;
  }
}

/** Place after the first whole event, or nothing. */
function findEventEnd(bytes: Buffer): number | undefined {
  const places = EVENT_ENDS.map((mark) => ({ mark, at: bytes.indexOf(mark) }))
    .filter(({ at }) => at >= 0)
    .map(({ mark, at }) => at + mark.length);
  return places.length === 0 ? undefined : Math.min(...places);
}

function readId(event: Buffer): string | undefined {
  const line = event.toString("latin1").split("\n").find((one) =>
    one.startsWith(ID_FIELD)
  );
  return line?.slice(ID_FIELD.length).trim();
}
