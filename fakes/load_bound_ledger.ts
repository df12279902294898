/** Requests in flight that the load bound allows on top of its multiple of the mean load. */
const ALLOWED_EXCESS_REQUESTS = 3;
/** Length of the sliding window over which requests above the bound are counted, in milliseconds. */
const WINDOW_MS = 5_000;

/** Requests that arrived within one window, and those of them that reached an engine above the bound. */
export interface LoadBoundWindow {
  requests: number;
  above: number;
}

interface Arrival {
  at: number;
  /** Requests by which the engine's load was above the bound; 0 or negative if it was within it. */
  excess: number;
}

/** Records the load of engines at each arrival of a request, compared with the load bound. */
export class LoadBoundLedger {
  private readonly arrivals: Arrival[] = [];

  private constructor(private readonly multiple: number) {}

  /** Creates an empty ledger.
   * @param multiple Multiple of the mean load that the bound allows. */
  static create(multiple: number): LoadBoundLedger {
    return new LoadBoundLedger(multiple);
  }

  /** Records the arrival of a request at an engine.
   * @param at Monotonic milliseconds.
   * @param held Requests in flight on the engine before this one.
   * @param engines All engines of the service, with their requests in flight. */
  recordArrival(
    at: number,
    held: number,
    engines: readonly { held: number }[],
  ): void {
    const total = engines.reduce((sum, engine) => sum + engine.held, 0);
    const mean = total / engines.length;
    const excess = held - (this.multiple * mean + ALLOWED_EXCESS_REQUESTS);
    this.arrivals.push({ at, excess });
  }

  /** The full window with the greatest share of its requests above the bound. */
  get worstWindow(): LoadBoundWindow {
    let worst: LoadBoundWindow = { requests: 0, above: 0 };
    let first = 0;
    let above = 0;
    const fullFrom = (this.arrivals[0]?.at ?? 0) + WINDOW_MS;
    this.arrivals.forEach(({ at, excess }, index) => {
      above += Number(excess > 0);
      while (this.arrivals[first]!.at <= at - WINDOW_MS) {
        above -= Number(this.arrivals[first]!.excess > 0);
        first += 1;
      }
      const window = { requests: index - first + 1, above };
      if (at >= fullFrom && getShare(window) > getShare(worst)) worst = window;
    });
    return worst;
  }

  /** Greatest number of requests by which an engine was above the bound when another request reached it. */
  get maxExcess(): number {
    return Math.max(0, ...this.arrivals.map(({ excess }) => excess));
  }

  /** Number of requests recorded so far. */
  get requests(): number {
    return this.arrivals.length;
  }
}

/** Share of a window's requests that reached engines above the bound.
 * @param window The window. */
export function getShare({ above, requests }: LoadBoundWindow): number {
  return above / Math.max(1, requests);
}
