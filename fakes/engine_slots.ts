/** Places in which a stand-in engine computes; those beyond wait, the more urgent first. */
export class EngineSlots {
  private readonly waiting: { priority: number; start: () => void }[] = [];
  private taken = 0;

  private constructor(private readonly count: number) {}

  /** Creates free places.
   * @param count How many. */
  static create(count: number): EngineSlots {
    return new EngineSlots(count);
  }

  /** Takes a place, as soon as there is one.
   * @param priority A greater one goes first. */
  async take(priority: number): Promise<void> {
    if (this.taken < this.count) {
      this.taken += 1;
      return;
    }
    await new Promise<void>((start) => {
      this.waiting.push({ priority, start });
      this.waiting.sort((a, b) => b.priority - a.priority);
    });
  }

  /** Gives a place back, to the next that waits. */
  release(): void {
    const next = this.waiting.shift();
    if (next) next.start();
    else this.taken -= 1;
  }
}
