import logfmt from "logfmt";
import { destination, type Logger, pino } from "pino";

/** Standard output. */
const STANDARD_OUTPUT = 1;
/** Bytes gathered before they are written, to save system calls. */
const BUFFERED_BYTES = 4_096;
/** Bytes that may wait for a reader that is slow; what comes beyond is dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** Lines a second beyond which lines are counted instead of written. */
const MAX_LINES_PER_SECOND = 400;
/** Interval at which gathered lines are written, in milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;

/** A logger whose volume is bounded and which never waits for its reader. */
export class BoundedLogger {
  /** Writes lines of key=value pairs. */
  readonly logger: Logger;
  private readonly output = destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    minLength: BUFFERED_BYTES,
    maxLength: MAX_WAITING_BYTES,
  });
  private readonly timer: NodeJS.Timeout;
  private lines = 0;
  private dropped = 0;

  private constructor(hostId: string, level: string) {
    this.logger = pino({
      level,
      base: { host: hostId },
      messageKey: "event",
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label }) },
    }, { write: (line: string) => this.write(line) });
    this.timer = setInterval(() => this.startSecond(), FLUSH_INTERVAL_MS);
    this.timer.unref();
  }

  /** Creates a logger to standard output.
   * @param hostId Put on every line.
   * @param level Least level that is written. */
  static create(hostId: string, level: string): BoundedLogger {
    return new BoundedLogger(hostId, level);
  }

  /** Writes what was gathered, for the process is about to end. */
  close(): void {
    clearInterval(this.timer);
    try {
      this.output.flushSync();
    } catch {
      // The reader is gone or was slower than the lines; there is nobody left to tell.
    }
  }

  private write(line: string): void {
    this.lines += 1;
    if (this.lines > MAX_LINES_PER_SECOND) {
      this.dropped += 1;
      return;
    }
    this.output.write(logfmt.stringify(JSON.parse(line)) + "\n");
  }

  private startSecond(): void {
    this.lines = 0;
    if (this.dropped > 0) {
      const dropped = this.dropped;
      this.dropped = 0;
      this.logger.warn({ dropped }, "log_lines_dropped");
    }
    this.output.flush();
  }
}
