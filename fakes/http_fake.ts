import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Handles one request to a fake server. */
export type FakeHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => Promise<void> | void;

/** Starts an HTTP server on a free port of the loopback address.
 * @param handle Handles each request once its body has been received.
 * @param port Port to listen on; any free port by default. */
export async function listenHttp(
  handle: FakeHandler,
  port = 0,
): Promise<{ server: Server; port: number }> {
  const server = createServer((request, response) => {
    const parts: Buffer[] = [];
    response.on("error", () => undefined);
    request.on("error", () => undefined);
    request.on("data", (part: Buffer) => parts.push(part));
    request.on(
      "end",
      () => void handle(request, response, Buffer.concat(parts).toString()),
    );
  });
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return { server, port: (server.address() as AddressInfo).port };
}

/** Sends a JSON response.
 * @param response The response.
 * @param value Value of the body.
 * @param status HTTP status code. */
export function reply(
  response: ServerResponse,
  value: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** Closes a server and all its connections.
 * @param server The server. */
export async function closeHttp(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise<void>((resolve) => server.close(() => resolve()));
}
