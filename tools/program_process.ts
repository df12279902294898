import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { BUNDLE_PATH } from "./bundle_path.ts";

/** Command that runs the bundled program. */
export const BUNDLE_COMMAND: readonly [string, ...string[]] = [
  process.execPath,
  BUNDLE_PATH,
];

/** A restartable child process that runs the program. */
export class ProgramProcess {
  /** Lines that the process wrote to standard output and standard error, over all its starts. */
  readonly logLines: string[] = [];
  private isRunning = false;
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);
  private startCount = 0;

  private constructor(
    private readonly command: readonly string[],
    private readonly environment: Readonly<Record<string, string>>,
  ) {}

  /** Starts a process.
   * @param command Executable and its arguments.
   * @param environment Environment variables besides those of this process. */
  static create(
    command: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): ProgramProcess {
    const program = new ProgramProcess(command, environment);
    program.start();
    return program;
  }

  /** Number of times that the process has been started. */
  get starts(): number {
    return this.startCount;
  }

  /** Id of the current or most recent process. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Whether the process is running. */
  get isAlive(): boolean {
    return this.isRunning;
  }

  /** Restarts the process if it is not running. */
  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.startCount += 1;
    const [program, ...args] = this.command;
    const child = spawn(program!, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...this.environment },
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8").on(
        "data",
        (text: string) => this.logLines.push(...text.trimEnd().split("\n")),
      );
    }
    this.exited = new Promise((resolve) => {
      child.once("exit", (code) => {
        this.isRunning = false;
        resolve(code);
      });
    });
    this.child = child;
    killOnExit(child);
  }

  /** Sends a signal to the process.
   * @param name Signal name. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the process to exit; returns its exit code, or null if a signal terminated it. */
  async waitForExit(): Promise<number | null> {
    return await this.exited;
  }

  /** Kills the process with SIGKILL, even if it is paused by SIGSTOP. */
  async kill(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
  }
}

/** Child processes that are running. */
const runningChildren = new Set<ChildProcess>();
/** Whether the handlers that kill the children on exit are installed. */
let areExitHandlersInstalled = false;

/** Kills a child when this process exits, also on SIGTERM or SIGINT: an aborted run leaves no processes behind. */
function killOnExit(child: ChildProcess): void {
  if (!areExitHandlersInstalled) {
    areExitHandlersInstalled = true;
    process.once("exit", killRunningChildren);
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => process.exit(1));
    }
  }
  runningChildren.add(child);
  child.once("exit", () => runningChildren.delete(child));
}

function killRunningChildren(): void {
  for (const child of runningChildren) child.kill("SIGKILL");
}
