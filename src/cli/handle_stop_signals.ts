import process from "node:process";
import { EXIT_CODE } from "./exit_code.ts";

/** A program that ends by signals. */
export interface StoppableProgram {
  /** Stops as planned; resolves when everything has ended. */
  drain(): Promise<void>;
  /** Stops at once. */
  close(): Promise<void>;
}

/** Ends the process as signals ask: by SIGTERM as planned, by SIGINT at once. A signal that comes again while the program
 * stops changes nothing, and one that comes before it has started waits for that.
 * @param starting The program.
 * @param onEnd Called before the process ends. */
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
    void starting.then((program) => program.drain()).then(end);
  });
  process.on(
    "SIGINT",
    () => void starting.then((program) => program.close()).then(end),
  );
}
