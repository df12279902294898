import { ByteAccumulator } from "../http/byte_accumulator.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Prefix of the line with the id of an event. */
const ID_FIELD_PREFIX = "id:";
const FIRST_ID_BYTE = ID_FIELD_PREFIX.charCodeAt(0);
/** Number of characters of a line that are kept if it arrives in pieces; longer than a line with an id. */
const MAX_LINE_PREFIX_LENGTH = 1_024;

/** Consecutive complete events of a stream. */
export interface StreamEvents {
  bytes: Buffer;
  count: number;
  /** Id of the first event that has one. */
  firstId: string | undefined;
  /** Id of the last event that has one. */
  lastId: string | undefined;
}

/** Splits the bytes of an event stream after complete events, each of which ends with an empty line, and buffers an
 * incomplete one. Each byte is examined once. */
export class EventSplitter {
  private readonly incomplete = ByteAccumulator.create();
  /** Beginning of the current line, as far as it arrived in earlier pieces. */
  private linePrefix = "";
  private hasLineBytes = false;
  /** Id of the incomplete event. */
  private pendingId: string | undefined;

  private constructor() {}

  /** Creates a splitter. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Number of bytes of the incomplete event. */
  get incompleteBytes(): number {
    return this.incomplete.length;
  }

  /** Discards the incomplete event. */
  close(): void {
    this.incomplete.clear();
  }

  /** Adds bytes and returns the events that they complete; undefined if there are none.
   * @param bytes The bytes. */
  push(bytes: Buffer): StreamEvents | undefined {
    let [count, end, lineStart] = [0, 0, 0];
    let [firstId, lastId]: (string | undefined)[] = [undefined, undefined];
    for (let at = 0; at < bytes.length; at++) {
      if (bytes[at] !== LINE_FEED) continue;
      if (this.isEmptyLine(bytes, lineStart, at)) {
        firstId ??= this.pendingId;
        lastId = this.pendingId ?? lastId;
        this.pendingId = undefined;
        count += 1;
        end = at + 1;
      } else this.pendingId = this.readId(bytes, lineStart, at);
      this.linePrefix = "";
      this.hasLineBytes = false;
      lineStart = at + 1;
    }
    this.keepLine(bytes, lineStart);
    const complete = this.takeComplete(bytes, end);
    return complete && { bytes: complete, count, firstId, lastId };
  }

  private isEmptyLine(bytes: Buffer, start: number, end: number): boolean {
    const length = end - start;
    if (!this.hasLineBytes) {
      return length === 0 || (length === 1 && bytes[start] === CARRIAGE_RETURN);
    }
    return length === 0 && this.linePrefix === "\r";
  }

  /** Returns the id in a line, or else the one in the lines before it. */
  private readId(
    bytes: Buffer,
    start: number,
    end: number,
  ): string | undefined {
    const isUnlikely = !this.hasLineBytes && bytes[start] !== FIRST_ID_BYTE;
    if (isUnlikely) return this.pendingId;
    const line = this.linePrefix +
      bytes.toString(
        "latin1",
        start,
        Math.min(end, start + MAX_LINE_PREFIX_LENGTH),
      );
    return line.startsWith(ID_FIELD_PREFIX)
      ? this.pendingId ?? line.slice(ID_FIELD_PREFIX.length).trim()
      : this.pendingId;
  }

  private keepLine(bytes: Buffer, start: number): void {
    if (start === bytes.length) return;
    this.hasLineBytes = true;
    const missing = MAX_LINE_PREFIX_LENGTH - this.linePrefix.length;
    const end = Math.min(bytes.length, start + missing);
    this.linePrefix += bytes.toString("latin1", start, end);
  }

  /** Returns the buffered bytes together with those up to the end of the last complete event, and buffers the rest. */
  private takeComplete(bytes: Buffer, end: number): Buffer | undefined {
    const { incomplete } = this;
    if (end === 0) {
      incomplete.append(bytes);
      return undefined;
    }
    const head = bytes.subarray(0, end);
    if (incomplete.length > 0) incomplete.append(head);
    const complete = incomplete.length > 0 ? incomplete.take() : head;
    if (end < bytes.length) incomplete.append(bytes.subarray(end));
    return complete;
  }
}
