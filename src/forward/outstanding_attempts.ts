const NONE: readonly never[] = [];

/** The attempts of a call from which its response may still come: the latest one, and earlier ones that the call has left
 * only because they were silent. */
export class OutstandingAttempts<T> {
  private latestAttempt: T | undefined;
  private readonly earlier = new Set<T>();

  private constructor() {}

  /** Creates an empty set. */
  static create<T>(): OutstandingAttempts<T> {
    return new OutstandingAttempts<T>();
  }

  /** The latest attempt; undefined if it has ended. */
  get latest(): T | undefined {
    return this.latestAttempt;
  }

  /** All attempts; the latest comes last. */
  get all(): T[] {
    const { latestAttempt, earlier } = this;
    return latestAttempt === undefined
      ? [...earlier]
      : [...earlier, latestAttempt];
  }

  /** Adds the latest attempt; the one before it must have ended or been left.
   * @param attempt The attempt. */
  start(attempt: T): void {
    this.latestAttempt = attempt;
  }

  /** Makes the latest attempt an earlier one, which stays outstanding. */
  leaveLatest(): void {
    if (this.latestAttempt === undefined) return;
    this.earlier.add(this.latestAttempt);
    this.latestAttempt = undefined;
  }

  /** Removes an attempt that has ended; returns whether it was the latest.
   * @param attempt The attempt. */
  end(attempt: T): boolean {
    this.earlier.delete(attempt);
    if (this.latestAttempt !== attempt) return false;
    this.latestAttempt = undefined;
    return true;
  }

  /** Keeps only the attempt whose response is forwarded, as the latest; returns the others, which are to be abandoned.
   * @param attempt The attempt. */
  choose(attempt: T): readonly T[] {
    if (this.latestAttempt === attempt && this.earlier.size === 0) return NONE;
    const others = this.all.filter((one) => one !== attempt);
    this.earlier.clear();
    this.latestAttempt = attempt;
    return others;
  }

  /** Removes and returns all attempts. */
  clear(): T[] {
    const { all } = this;
    this.earlier.clear();
    this.latestAttempt = undefined;
    return all;
  }
}
