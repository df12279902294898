import logfmt from "logfmt";

/** A parsed log line of a gateway. */
export interface LogLine {
  host: string;
  /** Seconds since the Unix epoch, by the clock of the host that wrote the line. */
  at: number;
  event: string;
  /** All fields of the line as strings. */
  fields: Readonly<Record<string, string>>;
}

/** Parses a log line of a gateway, ignoring any prefix before the `level` field; returns undefined for other lines.
 * @param text The line. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("level=");
  if (start < 0) return undefined;
  const parsed = logfmt.parse(text.slice(start)) as Record<string, unknown>;
  const fields = Object.fromEntries(
    Object.entries(parsed).map(([name, value]) => [name, String(value)]),
  );
  const { host, event, time } = fields;
  if (!host || !event || !time) return undefined;
  return { host, event, at: Date.parse(time) / 1_000, fields };
}
