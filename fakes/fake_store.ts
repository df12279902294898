import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { closeHttp, listenHttp, reply } from "./http_fake.ts";

/** How a store answers: well, each call with 503, watches with 410, or not at all. */
export type StoreBehaviour = "well" | "unavailable" | "history_lost" | "silent";

interface Item {
  private_key: string;
  value?: string;
  revision: number;
  created: number;
  deleted?: boolean;
}

interface Waiting {
  after: number;
  answer: () => void;
}

/** A store's items at one moment, from which it can be restored. */
export interface StoreCopy {
  revision: number;
  items: ReadonlyMap<string, Item>;
}

/** A small stand-in of the platform's metadata store: items with revisions, ranges, long polls and its troubles. */
export class FakeStore {
  /** How it answers. */
  behaviour: StoreBehaviour = "well";
  /** Calls it got. */
  calls = 0;
  /** Reads of whole lists among them. */
  snapshotReads = 0;
  /** Times that it was restored; told in all answers. Undefined where it tells none. */
  era: number | undefined = 1;
  private revision = 0;
  private items = new Map<string, Item>();
  private readonly waiting = new Set<Waiting>();

  private constructor(
    private readonly server: Server,
    /** Port on the loopback address. */
    readonly port: number,
    private readonly pageSize: number,
  ) {}

  /** Starts a store.
   * @param pageSize Items in one page of a range. */
  static async create(pageSize = 500): Promise<FakeStore> {
    const { server, port } = await listenHttp((request, response) =>
      store.handle(request, response)
    );
    const store = new FakeStore(server, port, pageSize);
    return store;
  }

  /** Writes a value.
   * @param key Its key.
   * @param value Any value; it is kept as JSON. */
  put(key: string, value: unknown): void {
    this.putText(key, JSON.stringify(value));
  }

  /** Writes a value as it is.
   * @param key Its key.
   * @param text The value's text. */
  putText(key: string, text: string): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    this.items.set(key, {
      private_key: key,
      value: Buffer.from(text).toString("base64"),
      revision: this.revision,
      created,
    });
    this.wake();
  }

  /** Deletes a value.
   * @param key Its key. */
  remove(key: string): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? 0;
    const { revision } = this;
    this.items.set(key, { private_key: key, revision, created, deleted: true });
    this.wake();
  }

  /** Copies everything that it holds. */
  copy(): StoreCopy {
    return { revision: this.revision, items: new Map(this.items) };
  }

  /** Comes back from a copy: what was written since is lost, and its revisions are given out again.
   * @param copy The copy. */
  restore(copy: StoreCopy): void {
    this.revision = copy.revision;
    this.items = new Map(copy.items);
    this.era = (this.era ?? 0) + 1;
    this.wake();
  }

  /** Writes again what was lost, as its writers do, but for what they have changed since.
   * @param lost Everything that it held before it was restored.
   * @param copy What it was restored from. */
  rewriteLost(lost: StoreCopy, copy: StoreCopy): void {
    for (const [key, { value, deleted }] of lost.items) {
      const current = this.items.get(key);
      const isChanged = (current?.revision ?? 0) > copy.revision;
      if (isChanged || current?.value === value) continue;
      if (deleted || value === undefined) this.remove(key);
      else this.putText(key, Buffer.from(value, "base64").toString());
    }
  }

  /** Ends the store. */
  async close(): Promise<void> {
    await closeHttp(this.server);
  }

  private tellEra(response: ServerResponse): void {
    if (this.era === undefined) return;
    response.setHeader("Store-Era", String(this.era));
  }

  private wake(): void {
    for (const waiting of [...this.waiting]) waiting.answer();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    this.calls += 1;
    this.tellEra(response);
    const url = new URL(request.url ?? "/", "http://store");
    if (this.behaviour === "silent") return;
    if (this.behaviour === "unavailable") return reply(response, {}, 503);
    const handlers: Record<string, () => void> = {
      "/kv-key": () => this.answerKey(response, url.searchParams),
      "/kv-range": () => this.answerRange(response, url.searchParams),
      "/kv-watch": () => this.answerWatch(response, url.searchParams),
    };
    const handler = handlers[url.pathname];
    if (handler) handler();
    else reply(response, {}, 404);
  }

  private answerKey(response: ServerResponse, query: URLSearchParams): void {
    const item = this.items.get(query.get("private_key") ?? "");
    if (!item || item.deleted) return reply(response, {}, 404);
    reply(response, { ...item, timestamp: this.revision });
  }

  private answerRange(response: ServerResponse, query: URLSearchParams): void {
    this.snapshotReads += 1;
    const prefix = query.get("path_prefix") ?? "";
    const after = query.get("after") ?? "";
    const matching = [...this.items.values()].filter((item) =>
      !item.deleted && item.private_key.startsWith(prefix) &&
      item.private_key > after
    ).sort((a, b) => a.private_key < b.private_key ? -1 : 1);
    reply(response, {
      items: matching.slice(0, this.pageSize),
      has_more: matching.length > this.pageSize,
      timestamp: this.revision,
    });
  }

  private answerWatch(response: ServerResponse, query: URLSearchParams): void {
    if (this.behaviour === "history_lost") return reply(response, {}, 410);
    const after = Number(query.get("after"));
    if (after > this.revision) return reply(response, {}, 410);
    const prefix = query.get("path_prefix") ?? "";
    const findEvents = () =>
      [...this.items.values()].filter((item) =>
        item.revision > after && item.private_key.startsWith(prefix)
      ).sort((a, b) => a.revision - b.revision);
    const answer = () => {
      clearTimeout(timer);
      this.waiting.delete(waiting);
      this.tellEra(response);
      if (after > this.revision) return reply(response, {}, 410);
      reply(response, { events: findEvents(), timestamp: this.revision });
    };
    const waiting = { after, answer };
    const timer = setTimeout(answer, Number(query.get("wait_ms")));
    response.on("close", () => {
      clearTimeout(timer);
      this.waiting.delete(waiting);
    });
    if (findEvents().length > 0) answer();
    else this.waiting.add(waiting);
  }
}
