import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { parseRequestTarget } from "../http/parse_request_target.ts";
import { splitAddress } from "../addresses/split_address.ts";

/** Handles the requests with one method and path of an endpoint. */
export type EndpointHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  query: URLSearchParams,
) => void;

/** Handles a request to upgrade a connection, and the bytes that followed it. */
export type UpgradeHandler = (
  request: IncomingMessage,
  socket: Duplex,
  head: Buffer,
) => void;

/** Handlers by method and path, such as `GET /status`. */
export type EndpointHandlers = Readonly<Record<string, EndpointHandler>>;

/** A small HTTP server for a single purpose other than callers' requests. */
export class HttpEndpoint {
  private constructor(private readonly server: Server) {}

  /** Opens an endpoint.
   * @param address Where to listen, as ip:port.
   * @param handlers Its handlers; a request for anything else gets a 404.
   * @param onUpgrade Handles requests to upgrade the connection; without it, they are handled as ordinary ones.
   * @throws The system's error if it can't listen on the address. */
  static async create(
    address: string,
    handlers: EndpointHandlers,
    onUpgrade?: UpgradeHandler,
  ): Promise<HttpEndpoint> {
    const server = createServer((request, response) => {
      const url = parseRequestTarget(request.url);
      const handler = handlers[`${request.method} ${url.pathname}`];
      if (handler) handler(request, response, url.searchParams);
      else response.writeHead(404).end();
    });
    if (onUpgrade) server.on("upgrade", onUpgrade);
    const { host, port } = splitAddress(address);
    server.listen(port, host);
    await once(server, "listening");
    return new HttpEndpoint(server);
  }

  /** Closes the endpoint and its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
