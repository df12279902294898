// Stand-in for the platform's metadata store: linearizable reads and long polls over HTTP with JSON bodies.
import { createServer } from "node:http";
import { once } from "node:events";

export class Store {
  revision = 1;
  items = new Map();
  watches = new Set();
  server = createServer((request, response) => this.handle(request, response));

  static async create() {
    const store = new Store();
    store.server.listen(0, "127.0.0.1");
    await once(store.server, "listening");
    store.address = `127.0.0.1:${store.server.address().port}`;
    return store;
  }

  /** Writes an item; returns when it is acknowledged. */
  put(key, value) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.items.set(key, { private_key: key, value: text, revision: this.revision, created, lease: 0 });
    for (const wake of [...this.watches]) wake();
  }

  remove(key) {
    this.revision += 1;
    this.items.set(key, { private_key: key, revision: this.revision, deleted: true });
    for (const wake of [...this.watches]) wake();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  handle(request, response) {
    request.resume();
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const reply = (status, body) => {
      response.writeHead(status, { "Content-Type": "application/json" });
      response.end(JSON.stringify(body));
    };
    if (url.pathname === "/kv-key") {
      const item = this.items.get(query.get("private_key"));
      return !item || item.deleted ? reply(404, {}) : reply(200, { ...item, timestamp: this.revision });
    }
    if (url.pathname === "/kv-range") {
      const prefix = query.get("path_prefix") ?? "";
      const after = query.get("after") ?? "";
      const items = [...this.items.values()].filter((item) =>
        !item.deleted && item.private_key.startsWith(prefix) && item.private_key > after
      ).sort((a, b) => a.private_key < b.private_key ? -1 : 1);
      return reply(200, { items, has_more: false, timestamp: this.revision });
    }
    if (url.pathname === "/kv-watch") {
      const prefix = query.get("path_prefix") ?? "";
      const after = Number(query.get("after"));
      const find = () =>
        [...this.items.values()].filter((item) => item.revision > after && item.private_key.startsWith(prefix))
          .sort((a, b) => a.revision - b.revision);
      const answer = () => {
        clearTimeout(timer);
        this.watches.delete(answer);
        reply(200, { events: find(), timestamp: this.revision });
      };
      const timer = setTimeout(answer, Number(query.get("wait_ms")));
      response.on("close", () => {
        clearTimeout(timer);
        this.watches.delete(answer);
      });
      if (find().length > 0) answer();
      else this.watches.add(answer);
      return;
    }
    reply(404, {});
  }
}
