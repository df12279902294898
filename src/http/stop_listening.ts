import type { Server as HttpServer } from "node:http";
import { Server } from "node:net";

/** Closes the listening socket of an HTTP server and leaves its connections open. The server's own method also destroys
 * connections whose last response has ended, even if it is not sent yet.
 * @param server The server; may be closed already. */
export function stopListening(server: HttpServer): void {
  Server.prototype.close.call(server);
}
