/** End of an event: an empty line. */
const EVENT_END = Buffer.from("\n\n");
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
    let end = pending.indexOf(EVENT_END);
    while (end >= 0) {
      const event = pending.subarray(0, end + EVENT_END.length);
      events.push({ bytes: event, id: readId(event) });
      pending = pending.subarray(end + EVENT_END.length);
      end = pending.indexOf(EVENT_END);
    }
    this.rest = pending;
    return events;
  }
}

function readId(event: Buffer): string | undefined {
  const line = event.toString("latin1").split("\n").find((one) =>
    one.startsWith(ID_FIELD)
  );
  return line?.slice(ID_FIELD.length).trim();
}
