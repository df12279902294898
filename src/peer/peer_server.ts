import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import type { FleetSecret } from "./fleet_secret.ts";
import type { FramePort } from "./frame_port.ts";
import { SocketPort } from "./socket_port.ts";

/** Head line of the answer to a peer that may not speak. */
const REFUSAL = "HTTP/1.1 403 Forbidden\r\nconnection: close\r\n\r\n";

/** Listens for other routers; who does not show a valid token is refused. */
export class PeerServer {
  private constructor(
    private readonly server: Server,
    private readonly sockets: WebSocketServer,
  ) {}

  /** Starts listening.
   * @param at Where to listen.
   * @param secret Checks who connects.
   * @param maxFrameBytes Largest frame taken.
   * @param onPort Told of each connection. */
  static async create(
    at: { host: string; port: number },
    secret: FleetSecret,
    maxFrameBytes: number,
    onPort: (port: FramePort) => void,
  ): Promise<PeerServer> {
    const server = createServer((_request, response) =>
      response.writeHead(404).end()
    );
    const sockets = new WebSocketServer({
      noServer: true,
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
    });
    const accept = (request: IncomingMessage, socket: Duplex, head: Buffer) => {
      socket.on("error", () => socket.destroy());
      const routerId = String(request.headers["x-router"] ?? "");
      const token = String(request.headers["x-token"] ?? "");
      if (!secret.isToken(routerId, token)) return socket.end(REFUSAL);
      sockets.handleUpgrade(
        request,
        socket,
        head,
        (webSocket) => onPort(SocketPort.create(routerId, webSocket)),
      );
    };
    server.on("upgrade", accept);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(at.port, at.host, resolve);
    });
    return new PeerServer(server, sockets);
  }

  /** Ends all connections and stops listening. */
  async close(): Promise<void> {
    for (const client of this.sockets.clients) client.terminate();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }
}
