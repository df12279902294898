import type { LoadCount } from "../upstreams/load_counts.ts";
import { numberListSchema } from "./told_schemas.ts";

/** Requests that a host told to have running, as another passes it on. */
export interface HostReport {
  /** Short name of the host's gossip address. */
  name: number;
  incarnation: number;
  /** The host's sequence number when it told this. */
  sequence: number;
  /** Milliseconds since it told this. */
  agoMs: number;
  loads: LoadCount[];
}

/** Numbers of a report before its loads, the last of which is the number of loads. */
const HEAD_NUMBERS = 5;

/** Reports as one list of numbers; a list that ends within a report is refused. */
export const hostReportsSchema = numberListSchema
  .refine(isWellFormed, "must be whole reports")
  .transform(readReports);

/** Writes reports as the list that `hostReportsSchema` reads.
 * @param reports The reports. */
export function packHostReports(reports: readonly HostReport[]): number[] {
  return reports.flatMap(({ name, incarnation, sequence, agoMs, loads }) => [
    name,
    incarnation,
    sequence,
    Math.round(agoMs),
    loads.length,
    ...loads.flat(),
  ]);
}

function getEnd(list: readonly number[], begin: number): number {
  return begin + HEAD_NUMBERS + 2 * list[begin + HEAD_NUMBERS - 1]!;
}

function isWellFormed(list: readonly number[]): boolean {
  let begin = 0;
  while (begin < list.length) {
    const end = getEnd(list, begin);
    // Also false where the list ends before the number of loads.
    if (!(end >= begin + HEAD_NUMBERS && Number.isInteger(end))) return false;
    begin = end;
  }
  return begin === list.length;
}

function readReports(list: readonly number[]): HostReport[] {
  const reports: HostReport[] = [];
  for (let begin = 0; begin < list.length; begin = getEnd(list, begin)) {
    const loads: LoadCount[] = [];
    const end = getEnd(list, begin);
    for (let at = begin + HEAD_NUMBERS; at < end; at += 2) {
      loads.push([list[at]!, list[at + 1]!]);
    }
    reports.push({
      name: list[begin]!,
      incarnation: list[begin + 1]!,
      sequence: list[begin + 2]!,
      agoMs: list[begin + 3]!,
      loads,
    });
  }
  return reports;
}
