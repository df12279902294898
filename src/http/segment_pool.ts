/** Size of a segment, in bytes. */
export const SEGMENT_BYTES = 64 * 1024;
/** Maximum number of unused segments that are kept. */
const MAX_UNUSED_SEGMENTS = 64;

/** Buffers of equal size that are used again, because large buffers stay in memory until a full garbage collection. */
export class SegmentPool {
  private readonly unused: Buffer[] = [];

  private constructor() {}

  /** Creates an empty pool. */
  static create(): SegmentPool {
    return new SegmentPool();
  }

  /** Returns a segment whose content is undefined. */
  acquire(): Buffer {
    return this.unused.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /** Takes back a segment that nothing refers to any more.
   * @param segment The segment. */
  release(segment: Buffer): void {
    if (this.unused.length < MAX_UNUSED_SEGMENTS) this.unused.push(segment);
  }
}

/** The segments of this process. */
export const processSegments = SegmentPool.create();
