import { z } from "zod";
import { loadCountsSchema } from "./told_schemas.ts";

/** Requests that a host told to have running, as another passes it on; it travels as a list. */
export const hostReportSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  loadCountsSchema,
]).transform(([name, incarnation, sequence, agoMs, loads]) => ({
  /** Short name of the host's gossip address. */
  name,
  incarnation,
  /** The host's sequence number when it told this. */
  sequence,
  /** Milliseconds since it told this. */
  agoMs,
  loads,
}));

/** Requests that a host told to have running, as another passes it on. */
export type HostReport = z.infer<typeof hostReportSchema>;

/** Writes a report as the list that `hostReportSchema` reads.
 * @param report The report. */
export function packHostReport(
  report: HostReport,
): z.input<typeof hostReportSchema> {
  const { name, incarnation, sequence, agoMs, loads } = report;
  return [name, incarnation, sequence, Math.round(agoMs), loads];
}
