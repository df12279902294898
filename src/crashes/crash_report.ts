import { z } from "zod";

/** Schema of a crash report. */
export const crashReportSchema = z.object({
  /** Fingerprint of the request. */
  fingerprint: z.number().int(),
  /** Milliseconds since the last crash when the report was sent. */
  agoMs: z.number().min(0),
  /** Each a `CrashPoints`. */
  crashes: z.array(z.tuple([z.number().int(), z.number().positive()])),
  /** Hashes of the instances whose crash no longer counts, because the request completed after it. */
  excused: z.array(z.number().int()),
  /** Hashes of the prompt parts that the request shares with others. */
  parts: z.array(z.number().int()),
});

/** A report from one host to another about the crashes of upstreams on which one request was in flight. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** A crash of an instance on which a request was in flight: the hash of the instance and the points that the request is
 * given. */
export type CrashPoints = CrashReport["crashes"][number];

const { fingerprint, agoMs, crashes, excused, parts } = crashReportSchema.shape;

/** Schema of a crash report as a list, because field names would take up half of a datagram. */
export const packedCrashReportSchema = z.tuple([
  fingerprint,
  agoMs,
  crashes,
  excused,
  parts,
]).transform((list): CrashReport => ({
  fingerprint: list[0],
  agoMs: list[1],
  crashes: list[2],
  excused: list[3],
  parts: list[4],
}));

/** Encodes a crash report as the list that `packedCrashReportSchema` decodes.
 * @param report The report. */
export function packCrashReport(
  report: CrashReport,
): z.input<typeof packedCrashReportSchema> {
  return [
    report.fingerprint,
    Math.round(report.agoMs),
    report.crashes,
    report.excused,
    report.parts,
  ];
}
