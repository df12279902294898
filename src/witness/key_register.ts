import type { KeyRecord } from "./key_record.ts";

interface DatedRecord extends KeyRecord {
  recordedAt: number;
}

/** The keys that one witness remembers: for each at most one attempt, the first that asked. */
export class KeyRegister {
  private readonly records = new Map<string, DatedRecord>();

  private constructor(private readonly rememberMs: number) {}

  /** Creates an empty register.
   * @param rememberMs Time for which a key is remembered. */
  static create(rememberMs: number): KeyRegister {
    return new KeyRegister(rememberMs);
  }

  /** Records an attempt unless another is recorded; returns what is recorded then.
   * @param key The idempotency key.
   * @param record The attempt.
   * @param replaces Attempt that may be replaced, because its holder gave it up.
   * @param now Milliseconds. */
  testAndSet(
    key: string,
    record: KeyRecord,
    replaces: string,
    now: number,
  ): KeyRecord {
    const known = this.records.get(key);
    if (known && known.attempt !== replaces) return known;
    this.records.delete(key);
    this.records.set(key, { ...record, recordedAt: now });
    return record;
  }

  /** Removes an attempt that was certainly not run.
   * @param key The idempotency key.
   * @param attempt The attempt; another one stays recorded. */
  release(key: string, attempt: string): void {
    if (this.records.get(key)?.attempt === attempt) this.records.delete(key);
  }

  /** Forgets the keys whose time is over.
   * @param now Milliseconds. */
  expire(now: number): void {
    for (const [key, record] of this.records) {
      if (now - record.recordedAt < this.rememberMs) return;
      this.records.delete(key);
    }
  }

  /** The remembered keys. */
  getRecords(): ReadonlyMap<string, KeyRecord> {
    return this.records;
  }
}
