import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import type { PeerAuthenticator } from "./peer_authenticator.ts";
import type { FramePort } from "./frame_port.ts";
import { WebSocketFramePort } from "./web_socket_frame_port.ts";

/** Response to a WebSocket upgrade request without a valid token. */
const REFUSAL = "HTTP/1.1 403 Forbidden\r\nconnection: close\r\n\r\n";

/** Accepts connections of other routers; a router that does not present a valid token is refused. */
export class PeerServer {
  private constructor(
    private readonly server: Server,
    private readonly webSocketServer: WebSocketServer,
  ) {}

  /** Starts listening.
   * @param listenAddress Address and port to listen on.
   * @param authenticator Verifies the tokens of connecting routers.
   * @param maxFrameBytes Size limit of a received frame.
   * @param onConnection Called for each accepted connection. */
  static async create(
    listenAddress: { host: string; port: number },
    authenticator: PeerAuthenticator,
    maxFrameBytes: number,
    onConnection: (port: FramePort) => void,
  ): Promise<PeerServer> {
    const server = createServer((_request, response) =>
      response.writeHead(404).end()
    );
    const webSocketServer = new WebSocketServer({
      noServer: true,
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
    });
    const accept = (request: IncomingMessage, socket: Duplex, head: Buffer) => {
      socket.on("error", () => socket.destroy());
      const peerId = String(request.headers["x-router"] ?? "");
      const token = String(request.headers["x-token"] ?? "");
      if (!authenticator.verifyToken(peerId, token)) return socket.end(REFUSAL);
      webSocketServer.handleUpgrade(
        request,
        socket,
        head,
        (webSocket) =>
          onConnection(WebSocketFramePort.create(peerId, webSocket)),
      );
    };
    server.on("upgrade", accept);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(listenAddress.port, listenAddress.host, resolve);
    });
    return new PeerServer(server, webSocketServer);
  }

  /** Terminates all connections and stops listening. */
  async close(): Promise<void> {
    for (const client of this.webSocketServer.clients) client.terminate();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }
}
