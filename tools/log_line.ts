import logfmt from "logfmt";

/** One log line of a gateway, with the host that wrote it. */
export interface LogLine {
  host: string;
  /** Seconds since the Unix epoch by the host's clock. */
  at: number;
  event: string;
  /** All fields of the line as text. */
  fields: Readonly<Record<string, string>>;
}

/** Reads a line as a gateway writes it; whatever stands before the first field is left out. Other lines are undefined.
 * @param text The line. */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf("level=");
  if (begin < 0) return undefined;
  const parsed = logfmt.parse(text.slice(begin)) as Record<string, unknown>;
  const fields = Object.fromEntries(
    Object.entries(parsed).map(([name, value]) => [name, String(value)]),
  );
  const { host, event, time } = fields;
  if (!host || !event || !time) return undefined;
  return { host, event, at: Date.parse(time) / 1_000, fields };
}
