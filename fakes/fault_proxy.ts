import { createSocket, type Socket as UdpSocket } from "node:dgram";
import { connect, createServer, type Server, type Socket } from "node:net";
import { getFreePort } from "../tools/free_port.ts";
import { resetSocket } from "./reset_socket.ts";

/** What a proxy does with traffic. */
export type ProxyMode =
  | "pass"
  /** Closes open connections, and new ones as soon as they are accepted. */
  | "cut"
  /** As `cut`, but with TCP resets. */
  | "reset"
  /** Forwards nothing, while connections stay open. */
  | "freeze"
  /** Forwards nothing to the server. */
  | "freeze_requests"
  /** Forwards nothing to the client. */
  | "freeze_answers";

/** A client's connection and the proxy's own connection to the server. */
interface Link {
  client: Socket;
  server: Socket;
}

/** How connections are closed. */
type Ending = "cut" | "reset";

/** Traffic that a mode blocks. */
interface BlockedTraffic {
  /** How connections are closed; undefined if they stay open. */
  ending?: Ending;
  requests?: true;
  answers?: true;
}

/** Traffic that each mode blocks. */
const BLOCKED_TRAFFIC: Readonly<Record<ProxyMode, BlockedTraffic>> = {
  pass: {},
  cut: { ending: "cut" },
  reset: { ending: "reset" },
  freeze: { requests: true, answers: true },
  freeze_requests: { requests: true },
  freeze_answers: { answers: true },
};

/** A fault-injecting proxy in front of one TCP and UDP port. */
export class FaultProxy {
  private blocked: BlockedTraffic = BLOCKED_TRAFFIC.pass;
  private delayMs = 0;
  private readonly links = new Set<Link>();
  private readonly udpLinks = new Map<string, UdpSocket>();

  private constructor(
    private target: number,
    private readonly server: Server,
    private readonly udp: UdpSocket,
    /** Port that the proxy listens on, for TCP and UDP. */
    readonly port: number,
  ) {
    server.on("connection", (client) => this.accept(client));
    udp.on("message", (datagram, from) => this.forward(datagram, from.port));
  }

  /** Starts a proxy on a port that the system gives to no other process, also while the proxy does not listen.
   * @param target Port of the server on the loopback address. */
  static async create(target: number): Promise<FaultProxy> {
    const port = await getFreePort();
    const server = createServer({ pauseOnConnect: true });
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    return new FaultProxy(target, server, await bindUdp(port), port);
  }

  /** Changes what the proxy does with traffic.
   * @param mode What to do.
   * @param delayMs Delay added to TCP data in both directions, in milliseconds. */
  setMode(mode: ProxyMode, delayMs = 0): void {
    this.blocked = BLOCKED_TRAFFIC[mode];
    this.delayMs = delayMs;
    for (const link of this.links) this.applyMode(link);
  }

  /** Changes the target of new connections, as when another server takes over the address. Closes open connections.
   * @param target Port of the server on the loopback address. */
  setTarget(target: number): void {
    this.target = target;
    for (const link of this.links) this.end(link, "cut");
  }

  /** Refuses new TCP connections, as a port without a listener does. Closes open connections. */
  async stopListening(): Promise<void> {
    for (const link of this.links) this.end(link, "cut");
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  /** Refuses new TCP connections while open ones stay as they are. */
  refuseConnections(): void {
    this.server.close();
  }

  /** Accepts TCP connections again on the same port. */
  async resumeListening(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.server.listen(this.port, "127.0.0.1", resolve)
    );
  }

  /** Stops the proxy and closes its connections. */
  close(): void {
    this.blocked = BLOCKED_TRAFFIC.cut;
    for (const link of this.links) this.applyMode(link);
    for (const socket of this.udpLinks.values()) socket.close();
    this.udp.close();
    this.server.close();
  }

  private accept(client: Socket): void {
    const server = connect(this.target, "127.0.0.1");
    const link = { client, server };
    this.links.add(link);
    this.pipe(client, server, () => this.blocked.requests === true);
    this.pipe(server, client, () => this.blocked.answers === true);
    const end = (ending: Ending) => this.end(link, ending);
    for (const socket of [client, server]) {
      socket.on("error", () => end("reset")).on("close", () => end("cut"));
      // A reset that arrives together with the last bytes is reported as a plain end, but then the socket has no remote
      // address any more.
      socket.prependOnceListener("end", () => {
        if (socket.remoteAddress === undefined) end("reset");
      });
    }
    this.applyMode(link);
  }

  private pipe(from: Socket, to: Socket, isBlocked: () => boolean): void {
    const queue: { data: Buffer; at: number }[] = [];
    const flush = () => {
      const [next] = queue;
      if (!next) return;
      const waitMs = next.at - performance.now();
      if (waitMs > 0) return void setTimeout(flush, waitMs);
      to.write(next.data);
      queue.shift();
      flush();
    };
    from.on("data", (data) => {
      if (isBlocked()) return from.pause(), from.unshift(data);
      // Data queues behind delayed data even once the delay has been removed, so that bytes stay in order.
      if (this.delayMs === 0 && queue.length === 0) return void to.write(data);
      queue.push({ data, at: performance.now() + this.delayMs });
      if (queue.length === 1) flush();
    });
  }

  private applyMode(link: Link): void {
    const { ending, requests, answers } = this.blocked;
    if (ending) return this.end(link, ending);
    if (requests) link.client.pause();
    else link.client.resume();
    if (answers) link.server.pause();
    else link.server.resume();
  }

  /** Closes both sides of a link, once only: how the first side closes determines how both do. */
  private end(link: Link, ending: Ending): void {
    if (!this.links.delete(link)) return;
    for (const socket of [link.client, link.server]) {
      if (ending === "reset") resetSocket(socket);
      else socket.destroy();
    }
  }

  private forward(datagram: Buffer, clientPort: number): void {
    if (this.blocked.ending || this.blocked.requests) return;
    const link = this.udpLinks.get(String(clientPort)) ??
      this.openUdp(clientPort);
    link.send(datagram, this.target, "127.0.0.1", () => undefined);
  }

  private openUdp(clientPort: number): UdpSocket {
    const link = createSocket("udp4");
    link.on("error", () => undefined);
    link.on("message", (datagram) => {
      if (this.blocked.ending || this.blocked.answers) return;
      this.udp.send(datagram, clientPort, "127.0.0.1", () => undefined);
    });
    this.udpLinks.set(String(clientPort), link);
    return link;
  }
}

/** Binds a UDP socket. */
async function bindUdp(port: number): Promise<UdpSocket> {
  const socket = createSocket("udp4");
  return await new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(port, "127.0.0.1", () => {
      socket.on("error", () => undefined);
      resolve(socket);
    });
  });
}
