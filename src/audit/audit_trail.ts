import type { Logger } from "../logging/logger.ts";
import type { AuditRecord } from "./audit_record.ts";

/** Keeps the most recent audit records in memory and writes each one as a log line. */
export class AuditTrail {
  private readonly records: AuditRecord[] = [];

  private constructor(
    private readonly capacity: number,
    private readonly logger: Logger,
  ) {}

  /** Creates an empty trail.
   * @param capacity Maximum number of records kept; the oldest are dropped first.
   * @param logger Logger to which each record is also written. */
  static create(capacity: number, logger: Logger): AuditTrail {
    return new AuditTrail(capacity, logger);
  }

  /** Adds a record with the current time.
   * @param record The record, without its time. */
  add(record: Omit<AuditRecord, "at">): void {
    const timestamped = { at: Date.now(), ...record };
    this.records.push(timestamped);
    if (this.records.length > this.capacity) this.records.shift();
    this.logger.info(timestamped, "audit");
  }

  /** Returns the most recent records, oldest first.
   * @param limit Maximum number of records returned.
   * @param what Prefix that the subject of a returned record must have. */
  getRecent(limit: number, what = ""): AuditRecord[] {
    const matching = this.records.filter((record) =>
      record.what.startsWith(what)
    );
    return limit > 0 ? matching.slice(-limit) : [];
  }
}
