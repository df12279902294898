import { writeFileSync } from "node:fs";
import { request } from "undici";
import type { RouterStatus } from "../src/router/router_status.ts";
import { BUNDLE_COMMAND, ProgramProcess } from "./program_process.ts";

const POLL_INTERVAL_MS = 30;

/** A router that runs as a separate process. */
export class RouterProcess {
  private constructor(
    readonly id: string,
    readonly httpPort: number,
    readonly peerPort: number,
    private readonly program: ProgramProcess,
  ) {}

  /** Starts a router.
   * @param settings Router settings.
   * @param folder Folder to which the settings file is written.
   * @param command Command that starts the program; by default it runs the bundle. */
  static create(
    settings: { id: string; http: { port: number }; peer: { port: number } },
    folder: string,
    command: readonly [string, ...string[]] = BUNDLE_COMMAND,
  ): RouterProcess {
    const { id, http, peer } = settings;
    const path = `${folder}/${id}.json`;
    writeFileSync(path, JSON.stringify(settings));
    const program = ProgramProcess.create([...command, "serve", path]);
    return new RouterProcess(id, http.port, peer.port, program);
  }

  /** Lines that the process wrote to standard output and standard error. */
  get logLines(): string[] {
    return this.program.logLines;
  }

  /** Address on which the router accepts requests from callers. */
  get address(): string {
    return `127.0.0.1:${this.httpPort}`;
  }

  /** Restarts the process if it is not running. */
  start(): void {
    this.program.start();
  }

  /** Sends a signal to the process.
   * @param name Signal name. */
  signal(name: NodeJS.Signals): void {
    this.program.signal(name);
  }

  /** Waits for the process to exit; returns its exit code, or null if a signal terminated it. */
  async waitForExit(): Promise<number | null> {
    return await this.program.waitForExit();
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<void> {
    await this.program.kill();
  }

  /** Returns the router's status, or undefined if it does not respond with status 200. */
  async getStatus(): Promise<RouterStatus | undefined> {
    try {
      const response = await request(`http://${this.address}/status`, {
        headersTimeout: 1_000,
      });
      const status = await response.body.json() as RouterStatus;
      return response.statusCode === 200 ? status : undefined;
    } catch {
      return undefined;
    }
  }

  /** Polls the status until it satisfies a condition; throws after the timeout.
   * @param condition Condition on the status.
   * @param description Description of the condition for the error message.
   * @param timeoutMs Timeout in milliseconds. */
  async waitFor(
    condition: (status: RouterStatus) => boolean,
    description: string,
    timeoutMs = 20_000,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    let lastStatus: RouterStatus | undefined;
    while (performance.now() < deadline) {
      const status = await this.getStatus();
      lastStatus = status ?? lastStatus;
      if (status && condition(status)) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    throw new Error(
      `${this.id}: timed out waiting for: ${description}; process ${
        this.program.isAlive ? "runs" : "has exited"
      }; last status: ${formatStatus(lastStatus)}; last log lines: ${
        this.logLines.slice(-5).join(" | ")
      }`,
    );
  }
}

/** Formats what a router has reported about its start. */
function formatStatus(status: RouterStatus | undefined): string {
  if (!status) return "none";
  const { phase, configuration, witness } = status;
  return JSON.stringify({ phase, configuration, witness });
}
