import type { Logger } from "../logging/logger.ts";
import type { AuditRecord } from "./audit_record.ts";

/** A bounded window of recent changes, each also written as one log line. */
export class AuditTrail {
  private readonly records: AuditRecord[] = [];

  private constructor(
    private readonly capacity: number,
    private readonly logger: Logger,
  ) {}

  /** Creates an empty trail.
   * @param capacity Records kept; the oldest are dropped first.
   * @param logger Where each record is written as well. */
  static create(capacity: number, logger: Logger): AuditTrail {
    return new AuditTrail(capacity, logger);
  }

  /** Adds a record.
   * @param record The change, without its time. */
  add(record: Omit<AuditRecord, "at">): void {
    const dated = { at: Date.now(), ...record };
    this.records.push(dated);
    if (this.records.length > this.capacity) this.records.shift();
    this.logger.info(dated, "audit");
  }

  /** Returns the newest records, oldest first.
   * @param limit Most records returned.
   * @param what Only records whose subject starts with this. */
  getRecent(limit: number, what = ""): AuditRecord[] {
    return this.records.filter((record) => record.what.startsWith(what)).slice(
      -limit,
    );
  }
}
