import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { BUNDLE } from "./bundle_path.ts";

/** The program from its bundle. */
export const BUNDLED_PROGRAM: readonly [string, ...string[]] = [
  process.execPath,
  BUNDLE,
];

/** The program as a process of its own, which can be started again. */
export class ProgramProcess {
  /** Lines it logged, over all its starts. */
  readonly log: string[] = [];
  private isRunning = false;
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);
  private startCount = 0;

  private constructor(private readonly command: readonly string[]) {}

  /** Starts a process.
   * @param command The program and its arguments. */
  static create(command: readonly string[]): ProgramProcess {
    const program = new ProgramProcess(command);
    program.start();
    return program;
  }

  /** Number of starts so far. */
  get starts(): number {
    return this.startCount;
  }

  /** Id of the process that runs, or ran last. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Whether it has been started and has not ended. */
  get isAlive(): boolean {
    return this.isRunning;
  }

  /** Starts the process again, unless it runs. */
  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.startCount += 1;
    const [program, ...args] = this.command;
    const child = spawn(program!, args, { stdio: ["ignore", "pipe", "pipe"] });
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8").on(
        "data",
        (text: string) => this.log.push(...text.trimEnd().split("\n")),
      );
    }
    this.exited = new Promise((resolve) => {
      child.once("exit", (code) => {
        this.isRunning = false;
        resolve(code);
      });
    });
    this.child = child;
    endWithThisProcess(child);
  }

  /** Sends a signal to the process.
   * @param name Name of the signal. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the process to end; returns its exit code, or null after a signal. */
  async waitForExit(): Promise<number | null> {
    return await this.exited;
  }

  /** Kills the process at once, also where it is stopped. */
  async kill(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
  }
}

/** The processes that run. */
const running = new Set<ChildProcess>();
/** Whether the end of this process ends them. */
let hasHandlers = false;

/** Kills a process when this one ends, also where a signal ends it: a run that was broken off leaves nothing behind. */
function endWithThisProcess(child: ChildProcess): void {
  if (!hasHandlers) {
    hasHandlers = true;
    process.once("exit", killRunning);
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => process.exit(1));
    }
  }
  running.add(child);
  child.once("exit", () => running.delete(child));
}

function killRunning(): void {
  for (const child of running) child.kill("SIGKILL");
}
