import type { LoadCount } from "../upstreams/load_counts.ts";
import { numberListSchema } from "./message_schemas.ts";

/** The in-flight requests that a host reported, as relayed by another host. */
export interface LoadReport {
  /** Hash of the host's gossip address. */
  name: number;
  incarnation: number;
  /** Sequence number of the entry that reported them. */
  sequence: number;
  /** Milliseconds since the host reported them. */
  agoMs: number;
  loads: LoadCount[];
}

/** Numbers in a report before its loads; the last of them is the number of loads. */
const HEADER_LENGTH = 5;

/** Load reports as one list of numbers; rejects a list that ends within a report. */
export const loadReportsSchema = numberListSchema
  .refine(isWellFormed, "truncated or invalid list of load reports")
  .transform(decodeReports);

/** Encodes reports as the list that `loadReportsSchema` decodes.
 * @param reports The reports. */
export function packLoadReports(reports: readonly LoadReport[]): number[] {
  return reports.flatMap(({ name, incarnation, sequence, agoMs, loads }) => [
    name,
    incarnation,
    sequence,
    Math.round(agoMs),
    loads.length,
    ...loads.flat(),
  ]);
}

function getReportEnd(list: readonly number[], start: number): number {
  return start + HEADER_LENGTH + 2 * list[start + HEADER_LENGTH - 1]!;
}

function isWellFormed(list: readonly number[]): boolean {
  let start = 0;
  while (start < list.length) {
    const end = getReportEnd(list, start);
    // NaN, and so also rejected, if the list ends before the number of loads.
    if (!(end >= start + HEADER_LENGTH && Number.isInteger(end))) return false;
    start = end;
  }
  return start === list.length;
}

function decodeReports(list: readonly number[]): LoadReport[] {
  const reports: LoadReport[] = [];
  for (let start = 0; start < list.length; start = getReportEnd(list, start)) {
    const loads: LoadCount[] = [];
    const end = getReportEnd(list, start);
    for (let index = start + HEADER_LENGTH; index < end; index += 2) {
      loads.push([list[index]!, list[index + 1]!]);
    }
    reports.push({
      name: list[start]!,
      incarnation: list[start + 1]!,
      sequence: list[start + 2]!,
      agoMs: list[start + 3]!,
      loads,
    });
  }
  return reports;
}
