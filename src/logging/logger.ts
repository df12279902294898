import logfmt from "logfmt";
import { type Logger, pino } from "pino";
import process from "node:process";

export type { Logger } from "pino";

/** Synchronous stream that converts pino's JSON lines to logfmt. */
const logfmtStream = {
  write(line: string): void {
    process.stderr.write(logfmt.stringify(JSON.parse(line)) + "\n");
  },
};

/** Creates the logger of a router; it writes to standard error.
 * @param routerId Router id added to every line.
 * @param level Minimum level of the lines written. */
export function createLogger(routerId: string, level: string): Logger {
  return pino({
    level,
    base: { router: routerId },
    messageKey: "event",
    timestamp: () => `,"time":"${new Date().toISOString()}"`,
    formatters: { level: (label) => ({ level: label }) },
  }, logfmtStream);
}
