import { hashText } from "./hasher.ts";

interface Point {
  place: number;
  name: string;
}

/** Names on a ring of 32-bit places: a key belongs to the names that follow its place, and a name that comes or goes
 * moves only the keys beside it. */
export class HostRing {
  private constructor(private readonly points: readonly Point[]) {}

  /** Creates a ring.
   * @param names The names. */
  static create(names: readonly string[]): HostRing {
    const points = names.map((name) => ({ place: hashText(name), name }));
    points.sort((a, b) => a.place - b.place || (a.name < b.name ? -1 : 1));
    return new HostRing(points);
  }

  /** The names that follow a place, fewer where the ring has fewer.
   * @param place Unsigned 32-bit number.
   * @param count Most names. */
  getFollowing(place: number, count: number): string[] {
    const { length } = this.points;
    const first = this.findFirst(place);
    return Array.from(
      { length: Math.min(count, length) },
      (_, index) => this.points[(first + index) % length]!.name,
    );
  }

  /** Index of the first point at or after a place. */
  private findFirst(place: number): number {
    let low = 0;
    let high = this.points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.points[middle]!.place < place) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
