import { processSegments, SEGMENT_BYTES } from "./segment_pool.ts";

/** Collects bytes in segments, so that many small pieces take little more memory than one, and large ones leave no
 * garbage. */
export class ByteAccumulator {
  private first: Buffer | undefined;
  private segments: Buffer[] = [];
  /** Number of bytes in the last segment. */
  private lastLength = SEGMENT_BYTES;
  private size = 0;

  private constructor() {}

  /** Creates an empty accumulator. */
  static create(): ByteAccumulator {
    return new ByteAccumulator();
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.size;
  }

  /** Adds a copy of bytes.
   * @param bytes The bytes. */
  append(bytes: Buffer): void {
    if (this.size === 0 && bytes.length < SEGMENT_BYTES) {
      this.first = Buffer.from(bytes);
    } else this.copy(bytes);
    this.size += bytes.length;
  }

  /** Returns the bytes and empties the accumulator. */
  take(): Buffer {
    const { first, segments, lastLength } = this;
    const lastIndex = segments.length - 1;
    const parts = segments.map((segment, index) =>
      index === lastIndex ? segment.subarray(0, lastLength) : segment
    );
    const bytes = first && parts.length === 0
      ? first
      : Buffer.concat(first ? [first, ...parts] : parts);
    this.clear();
    return bytes;
  }

  /** Discards the bytes. */
  clear(): void {
    for (const segment of this.segments) processSegments.release(segment);
    this.first = undefined;
    this.segments = [];
    this.lastLength = SEGMENT_BYTES;
    this.size = 0;
  }

  private copy(bytes: Buffer): void {
    let copied = 0;
    while (copied < bytes.length) {
      if (this.lastLength === SEGMENT_BYTES) {
        this.segments.push(processSegments.acquire());
        this.lastLength = 0;
      }
      const last = this.segments.at(-1)!;
      const count = bytes.copy(last, this.lastLength, copied);
      copied += count;
      this.lastLength += count;
    }
  }
}
