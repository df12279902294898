import type { StreamRecord } from "./stream_record.ts";

/** Time for which a record is kept after it was last received, in milliseconds; callers do not wait longer between two
 * attempts. */
const RECORD_TTL_MS = 30_000;
/** Maximum number of records; the oldest give way. */
const MAX_RECORDS = 50_000;

interface StoredRecord {
  record: StreamRecord;
  expiresAt: number;
}

/** The records of streams that this host knows, by stream key. */
export class StreamRecordStore {
  private readonly records = new Map<number, StoredRecord>();

  private constructor(private readonly readNow: () => number) {}

  /** Creates an empty store.
   * @param readNow Returns monotonic milliseconds. */
  static create(readNow: () => number): StreamRecordStore {
    return new StreamRecordStore(readNow);
  }

  /** Returns the record of a stream, if it is known.
   * @param key Key of the stream. */
  get(key: number): StreamRecord | undefined {
    const stored = this.records.get(key);
    return stored && stored.expiresAt > this.readNow()
      ? stored.record
      : undefined;
  }

  /** Stores a record unless a later one is known, and extends its lifetime.
   * @param key Key of the stream.
   * @param record The record. */
  put(key: number, record: StreamRecord): void {
    const known = this.get(key);
    const latest = known && known.order > record.order ? known : record;
    this.records.delete(key);
    const expiresAt = this.readNow() + RECORD_TTL_MS;
    this.records.set(key, { record: latest, expiresAt });
    this.removeExpired();
  }

  /** Removes expired records. They are in the order of their expiry. */
  private removeExpired(): void {
    for (const [key, { expiresAt }] of this.records) {
      const isExpired = expiresAt <= this.readNow();
      if (!isExpired && this.records.size <= MAX_RECORDS) return;
      this.records.delete(key);
    }
  }
}
