// A link between requesters and a machine: a proxy that delays what passes in both directions.
import { connect, createServer } from "node:net";
import { once } from "node:events";

export class Link {
  sockets = new Set();

  static async create(front, delayMs) {
    const link = new Link();
    link.server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({ ...front, allowHalfOpen: true });
      near.setNoDelay(true);
      far.setNoDelay(true);
      link.join(near, far, delayMs);
      link.join(far, near, delayMs);
    });
    link.server.listen(0, "127.0.0.1");
    await once(link.server, "listening");
    link.front = { host: "127.0.0.1", port: link.server.address().port };
    return link;
  }

  join(from, to, delayMs) {
    this.sockets.add(from);
    from.on("data", (bytes) => setTimeout(() => to.destroyed || to.writableEnded || to.write(bytes), delayMs));
    from.on("end", () => setTimeout(() => to.destroyed || to.end(), delayMs));
    from.on("error", () => setTimeout(() => to.destroy(), delayMs));
    from.on("close", () => {
      this.sockets.delete(from);
      setTimeout(() => to.destroy(), delayMs + 1);
    });
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
