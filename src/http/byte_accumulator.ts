/** Collects bytes in one buffer that grows by doubling, so that many small pieces take little more memory than one. */
export class ByteAccumulator {
  private buffer = Buffer.alloc(0);
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
    const size = this.size + bytes.length;
    if (size > this.buffer.length) this.grow(size);
    bytes.copy(this.buffer, this.size);
    this.size = size;
  }

  /** Returns the bytes and empties the accumulator. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.size);
    this.buffer = Buffer.alloc(0);
    this.size = 0;
    return bytes;
  }

  private grow(size: number): void {
    const capacity = this.size === 0 ? size : Math.max(size, 2 * this.size);
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.size);
    this.buffer = grown;
  }
}
