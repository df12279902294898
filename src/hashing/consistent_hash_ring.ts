import { hashText } from "./hasher.ts";

interface RingPoint {
  position: number;
  name: string;
}

/** Consistent hash ring of names with 32-bit positions. A key belongs to the names that follow its position, so adding
 * or removing a name moves only the keys next to it. */
export class ConsistentHashRing {
  private constructor(private readonly points: readonly RingPoint[]) {}

  /** Creates a ring.
   * @param names The names. */
  static create(names: readonly string[]): ConsistentHashRing {
    const points = names.map((name) => ({ position: hashText(name), name }));
    points.sort((a, b) =>
      a.position - b.position || (a.name < b.name ? -1 : 1)
    );
    return new ConsistentHashRing(points);
  }

  /** Returns the names that follow a position; fewer than requested if the ring has fewer.
   * @param position Position as an unsigned 32-bit number.
   * @param count Maximum number of names. */
  getSuccessors(position: number, count: number): string[] {
    const { length } = this.points;
    const first = this.findFirstIndex(position);
    return Array.from(
      { length: Math.min(count, length) },
      (_, index) => this.points[(first + index) % length]!.name,
    );
  }

  /** Returns the index of the first point at or after a position. */
  private findFirstIndex(position: number): number {
    let low = 0;
    let high = this.points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.points[middle]!.position < position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
