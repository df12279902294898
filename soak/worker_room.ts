/** A request's place on a worker. */
export interface WorkerPlace {
  /** Resolves when the worker starts on the request. */
  whenStarted: Promise<void>;
  /** Gives the place up, also while the request waits. */
  leave: () => void;
}

/** Slots of a worker and a bounded queue for them, served in order of arrival. */
export class WorkerRoom {
  private readonly queue: (() => void)[] = [];
  private runningCount = 0;

  private constructor(
    /** Most requests that run concurrently. */
    readonly slots: number,
    private readonly queueLimit: number,
  ) {}

  /** Creates an empty room.
   * @param slots Most requests that run concurrently.
   * @param queueLimit Most requests that wait. */
  static create(slots: number, queueLimit: number): WorkerRoom {
    return new WorkerRoom(slots, queueLimit);
  }

  /** Number of requests that run. */
  get running(): number {
    return this.runningCount;
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.queue.length;
  }

  /** Whether there is no place for another request. */
  get isFull(): boolean {
    return this.runningCount >= this.slots &&
      this.queue.length >= this.queueLimit;
  }

  /** Takes a place for a request; the room must not be full. */
  enter(): WorkerPlace {
    let hasStarted = false;
    let resolve = () => {};
    const whenStarted = new Promise<void>((settle) => resolve = settle);
    const start = () => {
      hasStarted = true;
      this.runningCount += 1;
      resolve();
    };
    if (this.runningCount < this.slots) start();
    else this.queue.push(start);
    const leave = () => {
      if (hasStarted) return this.release();
      this.queue.splice(this.queue.indexOf(start), 1);
      resolve();
    };
    return { whenStarted, leave };
  }

  private release(): void {
    this.runningCount -= 1;
    this.queue.shift()?.();
  }
}
