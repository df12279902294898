import { MAX_HELD_BYTES } from "../http/response_limits.ts";

/** Holds the incomplete response of an attempt in memory. */
export interface ResponseHolder {
  /** Discards what is held and fails the attempt. */
  evict(): void;
}

/** Limits the memory that all incomplete responses of a process take together. */
export class ResponseMemory {
  private readonly sizes = new Map<ResponseHolder, number>();
  private total = 0;

  private constructor(private readonly maxBytes: number) {}

  /** Creates an empty memory.
   * @param maxBytes Maximum size of all responses together, in bytes. */
  static create(maxBytes = MAX_HELD_BYTES): ResponseMemory {
    return new ResponseMemory(maxBytes);
  }

  /** Number of bytes that are held. */
  get heldBytes(): number {
    return this.total;
  }

  /** Records how much a holder holds, and evicts the largest holders while all together exceed the limit; returns
   * whether this one may keep what it holds.
   * @param holder The holder.
   * @param bytes Number of bytes that it holds now. */
  hold(holder: ResponseHolder, bytes: number): boolean {
    this.resize(holder, bytes);
    while (this.total > this.maxBytes) {
      const largest = this.findLargest();
      this.release(largest);
      if (largest === holder) return false;
      largest.evict();
    }
    return true;
  }

  /** Records that a holder holds nothing any more.
   * @param holder The holder. */
  release(holder: ResponseHolder): void {
    this.resize(holder, 0);
  }

  private resize(holder: ResponseHolder, bytes: number): void {
    this.total += bytes - (this.sizes.get(holder) ?? 0);
    if (bytes > 0) this.sizes.set(holder, bytes);
    else this.sizes.delete(holder);
  }

  private findLargest(): ResponseHolder {
    let largest: [ResponseHolder, number] | undefined;
    for (const entry of this.sizes) {
      if (!largest || entry[1] > largest[1]) largest = entry;
    }
    return largest![0];
  }
}
