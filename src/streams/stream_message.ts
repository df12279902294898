import { z } from "zod";
import type { StreamRecord } from "./stream_record.ts";

/** Messages with which hosts tell each other where streams began. */
export type StreamMessage =
  /** Reports the records of streams by their keys. */
  | {
    type: "stream_records";
    records: readonly (readonly [key: number, record: StreamRecord])[];
  }
  /** Asks for the record of a stream, and for the versions that have served a service within a time. */
  | {
    type: "stream_lookup_request";
    lookupId: number;
    key: number;
    service: string;
    withinMs: number;
  }
  /** Responds to such a request and returns its id. */
  | {
    type: "stream_lookup_response";
    lookupId: number;
    record: StreamRecord | undefined;
    versions: readonly string[];
    /** Time for which the sender has known all versions of the service, in milliseconds. */
    observedMs: number;
  };

/** A record as it is packed. */
type PackedRecord = [
  service: string,
  softwareVersion: string | null,
  order: number,
];

/** Schema of a packed record. */
export const streamRecordSchema = z.tuple([
  z.string(),
  z.string().nullable(),
  z.number(),
]).transform(([service, softwareVersion, order]): StreamRecord => (
  { service, softwareVersion: softwareVersion ?? undefined, order }
));

/** Packs a record.
 * @param record The record. */
export function packStreamRecord(record: StreamRecord): PackedRecord {
  const { service, softwareVersion, order } = record;
  return [service, softwareVersion ?? null, order];
}
