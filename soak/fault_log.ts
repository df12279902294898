/** An injected fault with its targets and its time window. */
export interface FaultWindow {
  name: string;
  /** Ids of the affected gateways or workers, or `store`. */
  targets: readonly string[];
  /** Whether it is a planned operation; failures during it still count as breaches. */
  isPlanned: boolean;
  from: number;
  /** Undefined while the fault lasts. */
  to: number | undefined;
}

/** Log of the faults of one run, with times in monotonic milliseconds. */
export class FaultLog {
  /** Windows of all faults so far. */
  readonly windows: FaultWindow[] = [];

  private constructor() {}

  /** Creates an empty log. */
  static create(): FaultLog {
    return new FaultLog();
  }

  /** Records the start of a fault. Returns its window, to be closed with `end`.
   * @param name Name of the fault.
   * @param targets Ids of the affected gateways or workers, or `store`.
   * @param isPlanned Whether it is a planned operation. */
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

  /** Records the end of a fault.
   * @param window Window of the fault. */
  end(window: FaultWindow): void {
    window.to = performance.now();
  }

  /** Whether an unplanned fault affected a target within an interval.
   * @param target Id of a gateway or worker, or `store`.
   * @param from Start of the interval.
   * @param to End of the interval. */
  wasAffected(target: string, from: number, to: number): boolean {
    return this.windows.some((window) =>
      !window.isPlanned && window.targets.includes(target) &&
      window.from <= to && (window.to ?? Infinity) >= from
    );
  }
}
