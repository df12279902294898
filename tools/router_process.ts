import { writeFileSync } from "node:fs";
import { request } from "undici";
import type { RouterStatus } from "../src/router/router_status.ts";
import { BUNDLED_PROGRAM, ProgramProcess } from "./program_process.ts";

const POLL_MS = 30;

/** A router that runs as a process of its own. */
export class RouterProcess {
  private constructor(
    readonly id: string,
    readonly httpPort: number,
    readonly peerPort: number,
    private readonly program: ProgramProcess,
  ) {}

  /** Starts a router.
   * @param settings Its settings.
   * @param folder Folder for its settings file.
   * @param command The program, the bundle by default. */
  static create(
    settings: { id: string; http: { port: number }; peer: { port: number } },
    folder: string,
    command: readonly [string, ...string[]] = BUNDLED_PROGRAM,
  ): RouterProcess {
    const { id, http, peer } = settings;
    const path = `${folder}/${id}.json`;
    writeFileSync(path, JSON.stringify(settings));
    const program = ProgramProcess.create([...command, "serve", path]);
    return new RouterProcess(id, http.port, peer.port, program);
  }

  /** Lines the process logged. */
  get log(): string[] {
    return this.program.log;
  }

  /** Address for callers. */
  get address(): string {
    return `127.0.0.1:${this.httpPort}`;
  }

  /** Starts the process again, unless it runs. */
  start(): void {
    this.program.start();
  }

  /** Sends a signal to the process.
   * @param name Name of the signal. */
  signal(name: NodeJS.Signals): void {
    this.program.signal(name);
  }

  /** Waits for the process to end; returns its exit code, or null after a signal. */
  async waitForExit(): Promise<number | null> {
    return await this.program.waitForExit();
  }

  /** Kills the process at once. */
  async kill(): Promise<void> {
    await this.program.kill();
  }

  /** Returns the router's status, or nothing where it does not answer. */
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

  /** Waits until the status satisfies a condition.
   * @param isMet The condition.
   * @param what What is waited for, for the error.
   * @param timeoutMs Time to wait. */
  async waitFor(
    isMet: (status: RouterStatus) => boolean,
    what: string,
    timeoutMs = 20_000,
  ): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    while (performance.now() < endsAt) {
      const status = await this.getStatus();
      if (status && isMet(status)) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    throw new Error(
      `${this.id}: ${what} did not come about; last log: ${
        this.log.slice(-5).join(" | ")
      }`,
    );
  }
}
