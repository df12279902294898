/** Smallest change of the wall clock relative to the monotonic clock that counts as a jump, in milliseconds. It lies
 * above the difference that comes from reading two clocks one after the other, and far below every age limit that a
 * decision uses. */
const MIN_JUMP_MS = 150;

/** Called with the size of a wall clock jump in milliseconds; a positive jump may have been a suspension. */
export type JumpListener = (jumpMs: number) => void;

/** Monotonic clock that also counts time during which the machine was suspended. The operating system's monotonic
 * clock stops during a suspension, so a host that was suspended would take the state it last received, API keys
 * above all, to be fresh. The wall clock reveals a suspension but cannot tell it from a clock adjustment: a
 * forward step is therefore treated as a suspension, at the cost of one round of refreshing state, and a backward
 * step is ignored. */
export class Clock {
  /** Wall clock minus monotonic clock, at the last reading of both. */
  private offsetMs: number;
  /** Time that the monotonic clock has not counted, in milliseconds. */
  private suspendedMs = 0;
  private readonly listeners = new Set<JumpListener>();

  private constructor(
    private readonly readMonotonic: () => number,
    private readonly readWallClock: () => number,
  ) {
    this.offsetMs = readWallClock() - readMonotonic();
  }

  /** Creates a clock.
   * @param readMonotonic Reads a monotonic clock, in milliseconds.
   * @param readWallClock Reads the wall clock, in milliseconds since the Unix epoch. */
  static create(
    readMonotonic: () => number = () => performance.now(),
    readWallClock: () => number = () => Date.now(),
  ): Clock {
    return new Clock(readMonotonic, readWallClock);
  }

  /** Returns monotonic milliseconds. The first reading after a jump already includes it, so no decision is made on
   * the time before the jump. */
  read(): number {
    const monotonicMs = this.readMonotonic();
    const offsetMs = this.readWallClock() - monotonicMs;
    const jumpMs = offsetMs - this.offsetMs;
    this.offsetMs = offsetMs;
    if (Math.abs(jumpMs) >= MIN_JUMP_MS) this.handleJump(jumpMs);
    return monotonicMs + this.suspendedMs;
  }

  /** Registers a listener for wall clock jumps; returns a function that removes it.
   * @param listener The listener. */
  onJump(listener: JumpListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private handleJump(jumpMs: number): void {
    if (jumpMs > 0) this.suspendedMs += jumpMs;
    for (const listener of this.listeners) listener(jumpMs);
  }
}

/** The clock of this process. */
const processClock = Clock.create();

/** Returns monotonic milliseconds of this process, including time during which the machine was suspended. */
export function readClock(): number {
  return processClock.read();
}

/** Returns monotonic milliseconds of this process, without time during which the machine was suspended. Unlike
 * `readClock` it never runs ahead when the wall clock is adjusted, so a time window that uses it does not end early. */
export function readSteadyClock(): number {
  return performance.now();
}

/** Registers a listener for wall clock jumps; returns a function that removes it.
 * @param listener The listener. */
export function onClockJump(listener: JumpListener): () => void {
  return processClock.onJump(listener);
}
