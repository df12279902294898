/** Requests above the mean load that the promise allows beside its multiple. */
const ALLOWED_EXTRA = 3;
/** Time over which requests above the bound are counted, in milliseconds. */
const WINDOW_MS = 5_000;

/** The requests of one span of time, and those of them that reached an engine above the bound. */
export interface BoundWindow {
  requests: number;
  above: number;
}

interface Arrival {
  at: number;
  /** Requests by which the engine was above the bound; 0 and less where it was not. */
  excess: number;
}

/** What engines carried when requests reached them, against the load bound. */
export class BoundLedger {
  private readonly arrivals: Arrival[] = [];

  private constructor(private readonly multiple: number) {}

  /** Creates an empty ledger.
   * @param multiple The promised multiple of the mean. */
  static create(multiple: number): BoundLedger {
    return new BoundLedger(multiple);
  }

  /** Records that a request reaches an engine.
   * @param at Monotonic milliseconds.
   * @param held Requests that the engine held before it.
   * @param engines All engines of its service, with what they held. */
  note(
    at: number,
    held: number,
    engines: readonly { held: number }[],
  ): void {
    const total = engines.reduce((sum, engine) => sum + engine.held, 0);
    const mean = total / engines.length;
    const excess = held - (this.multiple * mean + ALLOWED_EXTRA);
    this.arrivals.push({ at, excess });
  }

  /** The whole span with the greatest part of its requests above the bound. */
  get worst(): BoundWindow {
    let worst: BoundWindow = { requests: 0, above: 0 };
    let first = 0;
    let above = 0;
    const wholeFrom = (this.arrivals[0]?.at ?? 0) + WINDOW_MS;
    this.arrivals.forEach(({ at, excess }, index) => {
      above += Number(excess > 0);
      while (this.arrivals[first]!.at <= at - WINDOW_MS) {
        above -= Number(this.arrivals[first]!.excess > 0);
        first += 1;
      }
      const window = { requests: index - first + 1, above };
      if (at >= wholeFrom && getPart(window) > getPart(worst)) worst = window;
    });
    return worst;
  }

  /** The most requests by which an engine was above the bound when one more reached it. */
  get mostAbove(): number {
    return Math.max(0, ...this.arrivals.map(({ excess }) => excess));
  }

  /** All requests so far. */
  get requests(): number {
    return this.arrivals.length;
  }
}

/** Part of a span's requests that reached engines above the bound.
 * @param window The span. */
export function getPart({ above, requests }: BoundWindow): number {
  return above / Math.max(1, requests);
}
