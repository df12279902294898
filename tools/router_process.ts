import process from "node:process";
import { type ChildProcess, spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { request } from "undici";
import { BUNDLE } from "./bundle_path.ts";
import type { RouterStatus } from "../src/router/router_status.ts";

const POLL_MS = 30;

/** A router that runs as a process of its own. */
export class RouterProcess {
  /** Lines the process logged. */
  readonly log: string[] = [];
  private isRunning = false;
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);

  private constructor(
    readonly id: string,
    readonly httpPort: number,
    readonly peerPort: number,
    private readonly settingsPath: string,
    private readonly command: readonly [string, ...string[]],
  ) {}

  /** Starts a router.
   * @param settings Its settings.
   * @param folder Folder for its settings file.
   * @param command The program, the bundle by default. */
  static create(
    settings: { id: string; http: { port: number }; peer: { port: number } },
    folder: string,
    command: readonly [string, ...string[]] = [process.execPath, BUNDLE],
  ): RouterProcess {
    const path = `${folder}/${settings.id}.json`;
    writeFileSync(path, JSON.stringify(settings));
    const router = new RouterProcess(
      settings.id,
      settings.http.port,
      settings.peer.port,
      path,
      command,
    );
    router.start();
    return router;
  }

  /** Address for callers. */
  get address(): string {
    return `127.0.0.1:${this.httpPort}`;
  }

  /** Starts the process again, unless it runs. */
  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    const [program, ...before] = this.command;
    const child = spawn(program, [...before, "serve", this.settingsPath], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    child.stderr?.setEncoding("utf8").on(
      "data",
      (text: string) => this.log.push(...text.trimEnd().split("\n")),
    );
    this.exited = new Promise((resolve) => {
      child.once("exit", (code) => {
        this.isRunning = false;
        resolve(code);
      });
    });
    this.child = child;
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

  /** Kills the process at once. */
  async kill(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
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
