import process from "node:process";
import { readClock } from "../clock/clock.ts";
import { EXIT_CODE } from "./exit_code.ts";

/** A program that is stopped by signals. */
export interface StoppableProgram {
  /** Stops gracefully; resolves when the stop is complete.
   * @param signaledAt Monotonic milliseconds at which the stop was asked for. */
  drain(signaledAt: number): Promise<void>;
  /** Stops immediately. */
  close(): Promise<void>;
}

/** Handles stop signals: SIGTERM stops the program gracefully, SIGINT immediately. A repeated SIGTERM has no
 * effect. A signal that arrives before the program has started takes effect once it has.
 * @param starting The program, once it has started.
 * @param onEnd Called before the process exits. */
export function handleStopSignals(
  starting: Promise<StoppableProgram>,
  onEnd: () => void = () => undefined,
): void {
  const end = () => {
    onEnd();
    process.exit(EXIT_CODE.ok);
  };
  let isStopping = false;
  process.on("SIGTERM", () => {
    if (isStopping) return;
    isStopping = true;
    const signaledAt = readClock();
    void starting.then((program) => program.drain(signaledAt)).then(end);
  });
  process.on(
    "SIGINT",
    () => void starting.then((program) => program.close()).then(end),
  );
}
