import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { getFreePort } from "../tools/free_port.ts";

/** Handles one request to a fake server. */
export type FakeHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => Promise<void> | void;

/** Starts an HTTP server on the loopback address.
 * @param handle Handles each request once its body has been received.
 * @param port Port to listen on; 0 selects one that the system gives to no other process, also once the server has
 * closed. */
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
  const listenPort = port === 0 ? await getFreePort() : port;
  await new Promise<void>((resolve) =>
    server.listen(listenPort, "127.0.0.1", resolve)
  );
  return { server, port: listenPort };
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
