/** Jump of the time of day against the steady clock from which it is noticed, in milliseconds: above what reading two clocks
 * one after the other makes, and far below every age that a decision rests on. */
const NOTICED_JUMP_MS = 150;

/** Told of a jump of the time of day in milliseconds; one above 0 may have been a suspension. */
export type JumpListener = (jumpMs: number) => void;

/** Monotonic time that goes on while the machine is suspended. The steady clock stands still then, so that a host which slept
 * would take what it last heard, keys above all, for fresh. The time of day shows it, and can't be told from a step of itself:
 * a step forward is taken for a suspension, which costs a round of hearing; a step back changes nothing. */
export class Clock {
  /** Time of day less the steady clock, when they were last read. */
  private offset: number;
  /** Time that the steady clock has not counted, in milliseconds. */
  private uncounted = 0;
  private readonly listeners = new Set<JumpListener>();

  private constructor(
    private readonly readSteady: () => number,
    private readonly readTimeOfDay: () => number,
  ) {
    this.offset = readTimeOfDay() - readSteady();
  }

  /** Creates a clock.
   * @param readSteady Reads milliseconds of a steady clock.
   * @param readTimeOfDay Reads Unix milliseconds. */
  static create(
    readSteady: () => number = () => performance.now(),
    readTimeOfDay: () => number = () => Date.now(),
  ): Clock {
    return new Clock(readSteady, readTimeOfDay);
  }

  /** Monotonic milliseconds. A jump shows with the first reading after it, before anything is decided. */
  read(): number {
    const steady = this.readSteady();
    const offset = this.readTimeOfDay() - steady;
    const jumpMs = offset - this.offset;
    this.offset = offset;
    if (Math.abs(jumpMs) >= NOTICED_JUMP_MS) this.noteJump(jumpMs);
    return steady + this.uncounted;
  }

  /** Tells a listener of jumps; returns a function that ends this.
   * @param listener The listener. */
  watch(listener: JumpListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private noteJump(jumpMs: number): void {
    if (jumpMs > 0) this.uncounted += jumpMs;
    for (const listener of this.listeners) listener(jumpMs);
  }
}

/** The clock of this process. */
const processClock = Clock.create();

/** Monotonic milliseconds of this process, with the time for which its machine was suspended. */
export function readClock(): number {
  return processClock.read();
}

/** Tells a listener of jumps of the time of day; returns a function that ends this.
 * @param listener The listener. */
export function watchClock(listener: JumpListener): () => void {
  return processClock.watch(listener);
}
