import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";

/** A caller that writes bytes on a connection of its own and collects what it receives. */
export class RawCaller {
  private text = "";
  private hasEnded = false;
  private hasFailed = false;

  private constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => this.text += text);
    socket.on("end", () => this.hasEnded = true);
    socket.on("error", () => this.hasFailed = true);
  }

  /** Opens a connection.
   * @param port Port on this machine.
   * @param closesAtEnd Whether the caller closes as soon as the other side has. */
  static async create(port: number, closesAtEnd = true): Promise<RawCaller> {
    const socket = connect({
      port,
      host: "127.0.0.1",
      allowHalfOpen: !closesAtEnd,
    });
    const caller = new RawCaller(socket);
    await once(socket, "connect");
    return caller;
  }

  /** Statuses of the responses so far, in order. */
  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) =>
      Number(match[1])
    );
  }

  /** All that was received. */
  get received(): string {
    return this.text;
  }

  /** Whether the connection was ended in order by the other side. */
  get wasEnded(): boolean {
    return this.hasEnded;
  }

  /** Whether the connection was reset. */
  get wasReset(): boolean {
    return this.hasFailed;
  }

  /** Writes bytes; they are in the kernel when this returns. */
  write(text: string): void {
    this.socket.write(text);
  }

  /** Stops reading; what arrives stays in the kernel. */
  pause(): void {
    this.socket.pause();
  }

  /** Reads again. */
  resume(): void {
    this.socket.resume();
  }

  /** Resolves when the other side has ended or reset the connection. */
  async waitForEnd(): Promise<void> {
    if (this.hasEnded || this.hasFailed || this.socket.destroyed) return;
    await new Promise<void>((resolve) => {
      this.socket.once("end", resolve);
      this.socket.once("error", () => resolve());
      this.socket.once("close", () => resolve());
    });
  }

  /** Resolves when a number of responses has begun or the connection has ended. */
  async waitForResponses(count: number): Promise<void> {
    while (this.statuses.length < count && !this.socket.destroyed) {
      await Promise.race([
        once(this.socket, "data"),
        once(this.socket, "close"),
      ]);
    }
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }
}

/** Keeps the process from reading sockets and running timers, as a freeze does. Timers that are due run before the
 * sockets are read again.
 * @param durationMs Time in milliseconds.
 * @param onStart Called at the start; what it writes arrives during the freeze. */
export async function freezeProcess(
  durationMs: number,
  onStart: () => void,
): Promise<void> {
  // The event loop runs timers, and then polls sockets, after this phase.
  await nextTurn();
  onStart();
  const until = performance.now() + durationMs;
  while (performance.now() < until) continue;
}
