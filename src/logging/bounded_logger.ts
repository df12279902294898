import logfmt from "logfmt";
import { destination, type Logger, pino } from "pino";

/** File descriptor of standard output. */
const STDOUT_DESCRIPTOR = 1;
/** Bytes that are buffered before a write, to reduce system calls. */
const MIN_WRITE_BYTES = 4_096;
/** Maximum number of bytes buffered for a slow reader; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Maximum number of lines per second; further lines are counted and dropped. */
const MAX_LINES_PER_SECOND = 400;
/** Maximum number of lines per second including warnings and errors. */
const MAX_LINES_WITH_WARNINGS_PER_SECOND = 1_200;
/** Start of a line below the level of warnings. */
const INFO_LINE_PREFIX = '{"level":"info"';
/** Length of a rate limit window, and interval at which buffered lines are flushed, in milliseconds. */
const RATE_WINDOW_MS = 1_000;

/** Logger with a limited line rate and a limited buffer, which never blocks on a slow reader. */
export class BoundedLogger {
  /** Writes lines in logfmt. */
  readonly logger: Logger;
  private readonly output = destination({
    dest: STDOUT_DESCRIPTOR,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  private readonly timer: NodeJS.Timeout;
  private windowLines = 0;
  private droppedLines = 0;

  private constructor(hostId: string, level: string) {
    this.logger = pino({
      level,
      base: { host: hostId },
      messageKey: "event",
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label }) },
    }, { write: (line: string) => this.write(line) });
    this.timer = setInterval(() => this.startWindow(), RATE_WINDOW_MS);
    this.timer.unref();
  }

  /** Creates a logger to standard output.
   * @param hostId Host id added to every line.
   * @param level Minimum level of the lines written. */
  static create(hostId: string, level: string): BoundedLogger {
    return new BoundedLogger(hostId, level);
  }

  /** Flushes buffered lines synchronously before the process exits. */
  close(): void {
    clearInterval(this.timer);
    try {
      this.reportDropped();
      this.output.flushSync();
    } catch {
      // The reader has closed the pipe or is too slow; the remaining lines are lost, with nowhere left to report it.
    }
  }

  private write(line: string): void {
    const maxLines = line.startsWith(INFO_LINE_PREFIX)
      ? MAX_LINES_PER_SECOND
      : MAX_LINES_WITH_WARNINGS_PER_SECOND;
    if (this.windowLines >= maxLines) {
      this.droppedLines += 1;
      return;
    }
    this.windowLines += 1;
    this.output.write(logfmt.stringify(JSON.parse(line)) + "\n");
  }

  private startWindow(): void {
    this.reportDropped();
    this.output.flush();
  }

  private reportDropped(): void {
    this.windowLines = 0;
    if (this.droppedLines === 0) return;
    const dropped = this.droppedLines;
    this.droppedLines = 0;
    this.logger.warn({ dropped }, "log_lines_dropped");
  }
}
