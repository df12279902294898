import { randomInt } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeds are below this. */
const MAX_SEED = 0x7fffffff;
/** Greatest seed of a source that another draws. */
const MAX_FORK_SEED = 0x3fffffff;

/** A source of random numbers; seeded, so that a run can be repeated. */
export class Random {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {}

  /** Creates a source.
   * @param seed Any integer; a random one by default, for hosts that start at the same moment must not choose alike. */
  static create(seed: number = randomInt(MAX_SEED)): Random {
    return new Random(xoroshiro128plus(seed));
  }

  /** Returns an integer between two bounds, both included.
   * @param low Least value.
   * @param high Greatest value. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** Returns a number from 0 up to, but not including, 1. */
  fraction(): number {
    return this.integer(0, 0x3fffffff) / 0x40000000;
  }

  /** Returns one of some items.
   * @param items The items, at least one. */
  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)]!;
  }

  /** Returns another source, whose seed this one draws. */
  fork(): Random {
    return Random.create(this.integer(1, MAX_FORK_SEED));
  }

  /** Returns the items in a random order.
   * @param items The items; left as they are. */
  shuffle<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index--) {
      const other = this.integer(0, index);
      [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
    }
    return shuffled;
  }
}
