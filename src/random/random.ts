import { randomInt } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Exclusive upper bound of random seeds. */
const MAX_SEED = 0x7fffffff;
/** Maximum seed of a forked source. */
const MAX_FORK_SEED = 0x3fffffff;

/** Seeded source of random numbers, so that runs can be repeated. */
export class Random {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {}

  /** Creates a source.
   * @param seed Any integer. Random by default, because hosts that start at the same moment must not make the same
   * choices. */
  static create(seed: number = randomInt(MAX_SEED)): Random {
    return new Random(xoroshiro128plus(seed));
  }

  /** Returns an integer between two inclusive bounds.
   * @param low Minimum value.
   * @param high Maximum value. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number {
    return this.integer(0, 0x3fffffff) / 0x40000000;
  }

  /** Returns a random item.
   * @param items The items; at least one. */
  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)]!;
  }

  /** Returns a new source that is seeded from this one. */
  fork(): Random {
    return Random.create(this.integer(1, MAX_FORK_SEED));
  }

  /** Returns the items in a random order.
   * @param items The items; not modified. */
  shuffle<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index--) {
      const other = this.integer(0, index);
      [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
    }
    return shuffled;
  }
}
