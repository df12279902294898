import logfmt from "logfmt";
import { type Logger, pino } from "pino";
import process from "node:process";

export type { Logger } from "pino";

/** A synchronous stream that rewrites pino's JSON as one line of key=value pairs. */
const keyValueStream = {
  write(line: string): void {
    process.stderr.write(logfmt.stringify(JSON.parse(line)) + "\n");
  },
};

/** Creates the process's logger.
 * @param routerId Put on every line.
 * @param level Least level that is written. */
export function createLogger(routerId: string, level: string): Logger {
  return pino({
    level,
    base: { router: routerId },
    messageKey: "event",
    timestamp: () => `,"time":"${new Date().toISOString()}"`,
    formatters: { level: (label) => ({ level: label }) },
  }, keyValueStream);
}
