/** What a fault is about, and whether operators planned it. */
export interface FaultWindow {
  name: string;
  /** Gateways or workers that it hits, or `store`. */
  targets: readonly string[];
  isPlanned: boolean;
  from: number;
  /** Undefined while it goes on. */
  to: number | undefined;
}

/** The faults of one run with their times, in monotonic milliseconds. */
export class FaultLog {
  /** All faults so far. */
  readonly windows: FaultWindow[] = [];

  private constructor() {}

  /** Creates an empty log. */
  static create(): FaultLog {
    return new FaultLog();
  }

  /** Notes that a fault begins; the window is closed by `end`.
   * @param name What is done.
   * @param targets What it hits.
   * @param isPlanned Whether operators planned it. */
  begin(
    name: string,
    targets: readonly string[],
    isPlanned = false,
  ): FaultWindow {
    const from = performance.now();
    const window = { name, targets, isPlanned, from, to: undefined };
    this.windows.push(window);
    return window;
  }

  /** Notes that a fault is over.
   * @param window The fault. */
  end(window: FaultWindow): void {
    window.to = performance.now();
  }

  /** Whether a fault that nobody planned hit a target within a time.
   * @param target A gateway, a worker or `store`.
   * @param from Its begin.
   * @param to Its end. */
  wasHit(target: string, from: number, to: number): boolean {
    return this.windows.some((window) =>
      !window.isPlanned && window.targets.includes(target) &&
      window.from <= to && (window.to ?? Infinity) >= from
    );
  }
}
