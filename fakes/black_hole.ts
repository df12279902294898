import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";

/** Connections that fill the backlog of a port, so that the kernel drops the first packet of any other. */
const FILLING_CONNECTIONS = 2;

/** Ports of the loopback address on which connections are neither established nor refused, as behind a link that loses
 * every packet. */
export class BlackHole {
  private constructor(
    private readonly thread: Worker,
    private readonly released: Int32Array,
    private readonly filling: readonly Socket[],
  ) {}

  /** Takes over ports that nothing listens on.
   * @param ports The ports. */
  static async create(ports: readonly number[]): Promise<BlackHole> {
    const released = new Int32Array(new SharedArrayBuffer(4));
    const thread = new Worker(
      new URL("black_hole_thread.cjs", import.meta.url),
      { workerData: { ports, released }, execArgv: [] },
    );
    await once(thread, "message");
    thread.unref();
    const filling = ports.flatMap((port) =>
      Array.from({ length: FILLING_CONNECTIONS }, () => fillBacklog(port))
    );
    await Promise.all(filling.map((socket) => once(socket, "connect")));
    return new BlackHole(thread, released, filling);
  }

  /** Frees the ports; connections that were not established are refused. */
  async close(): Promise<void> {
    const exited = once(this.thread, "exit");
    Atomics.store(this.released, 0, 1);
    Atomics.notify(this.released, 0);
    await exited;
    for (const socket of this.filling) socket.destroy();
  }
}

function fillBacklog(port: number): Socket {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => socket.destroy());
  return socket;
}
