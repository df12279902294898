import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { parseRequestTarget } from "../http/parse_request_target.ts";
import { splitAddress } from "../addresses/split_address.ts";

/** Handles the requests with one method and path of an endpoint. */
export type EndpointHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  query: URLSearchParams,
) => void;

/** Handlers by method and path, such as `GET /status`. */
export type EndpointHandlers = Readonly<Record<string, EndpointHandler>>;

/** A small HTTP server for a single purpose other than callers' requests. */
export class HttpEndpoint {
  private constructor(private readonly server: Server) {}

  /** Opens an endpoint.
   * @param address Where to listen, as ip:port.
   * @param handlers Its handlers; a request for anything else gets a 404.
   * @throws The system's error if it can't listen on the address. */
  static async create(
    address: string,
    handlers: EndpointHandlers,
  ): Promise<HttpEndpoint> {
    const server = createServer((request, response) => {
      const url = parseRequestTarget(request.url);
      const handler = handlers[`${request.method} ${url.pathname}`];
      if (handler) handler(request, response, url.searchParams);
      else response.writeHead(404).end();
    });
    // A tunnel is a request whose body has no end for as long as it is used.
    server.requestTimeout = 0;
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
