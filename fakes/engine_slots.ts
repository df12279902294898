/** Concurrency slots of a fake engine: a semaphore whose waiters are admitted by priority. */
export class EngineSlots {
  private readonly waiting: { priority: number; start: () => void }[] = [];
  private used = 0;

  private constructor(private readonly count: number) {}

  /** Creates slots, all of them free.
   * @param count Number of slots. */
  static create(count: number): EngineSlots {
    return new EngineSlots(count);
  }

  /** Acquires a slot, waiting until one is free.
   * @param priority Waiters with a greater value are admitted first. */
  async acquire(priority: number): Promise<void> {
    if (this.used < this.count) {
      this.used += 1;
      return;
    }
    await new Promise<void>((start) => {
      this.waiting.push({ priority, start });
      this.waiting.sort((a, b) => b.priority - a.priority);
    });
  }

  /** Releases a slot, handing it to the next waiter if there is one. */
  release(): void {
    const next = this.waiting.shift();
    if (next) next.start();
    else this.used -= 1;
  }
}
