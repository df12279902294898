import type { KeyRecord } from "./key_record.ts";

interface TimestampedRecord extends KeyRecord {
  recordedAt: number;
}

/** Key records of one witness. Each key has at most one attempt, the first that requested a vote. */
export class KeyRecordStore {
  private readonly records = new Map<string, TimestampedRecord>();

  private constructor(private readonly rememberMs: number) {}

  /** Creates an empty store.
   * @param rememberMs Retention period of a record. */
  static create(rememberMs: number): KeyRecordStore {
    return new KeyRecordStore(rememberMs);
  }

  /** Stores an attempt unless one is stored that it does not replace, and returns the record that is stored afterwards.
   * @param key The idempotency key.
   * @param record The attempt.
   * @param replaces Id of the attempt that may be replaced because its holder gave it up.
   * @param now Milliseconds since the epoch. */
  compareAndSet(
    key: string,
    record: KeyRecord,
    replaces: string,
    now: number,
  ): KeyRecord {
    const existing = this.records.get(key);
    if (existing && existing.attempt !== replaces) return existing;
    this.records.delete(key);
    this.records.set(key, { ...record, recordedAt: now });
    return record;
  }

  /** Removes the record of an attempt that was certainly not run.
   * @param key The idempotency key.
   * @param attempt Id of the attempt; a record of a different attempt stays. */
  release(key: string, attempt: string): void {
    if (this.records.get(key)?.attempt === attempt) this.records.delete(key);
  }

  /** Removes the records whose retention period has passed. Records are kept in the order in which they were stored.
   * @param now Milliseconds since the epoch. */
  expire(now: number): void {
    for (const [key, record] of this.records) {
      if (now - record.recordedAt < this.rememberMs) return;
      this.records.delete(key);
    }
  }

  /** All records, by key. */
  getRecords(): ReadonlyMap<string, KeyRecord> {
    return this.records;
  }
}
