import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { closeHttp, listenHttp, reply } from "./http_fake.ts";

/** Behaviour of a fake store: responds normally, responds to each call with 503, responds to watches with 410,
 * or does not respond at all. */
export type StoreBehaviour = "well" | "unavailable" | "history_lost" | "silent";

interface Item {
  private_key: string;
  value?: string;
  revision: number;
  created: number;
  deleted?: boolean;
}

/** An event of the history, with the time at which it happened. */
interface HistoryEvent {
  item: Item;
  /** Monotonic milliseconds. */
  at: number;
}

interface PendingWatch {
  after: number;
  respond: () => void;
}

/** Snapshot of a store's items, from which it can be restored. */
export interface StoreSnapshot {
  revision: number;
  items: ReadonlyMap<string, Item>;
}

/** A fake metadata store of the platform: items with revisions, range reads, long polls and injected failures. */
export class FakeStore {
  behaviour: StoreBehaviour = "well";
  /** Number of calls received. */
  calls = 0;
  /** Number of range reads among the calls. */
  rangeReads = 0;
  /** Era sent in all responses, incremented by each restore; undefined if no era is sent. */
  era: number | undefined = 1;
  /** Time for which events are retained, in milliseconds. */
  historyMs = 20_000;
  /** All events that are retained, in their order. */
  private history: HistoryEvent[] = [];
  /** Revision of the last event that is no longer retained. */
  private forgottenRevision = 0;
  private revision = 0;
  private items = new Map<string, Item>();
  private readonly waiting = new Set<PendingWatch>();

  private constructor(
    private readonly server: Server,
    /** Port on the loopback address. */
    readonly port: number,
    private readonly pageSize: number,
  ) {}

  /** Starts a store.
   * @param pageSize Items per page of a range read. */
  static async create(pageSize = 500): Promise<FakeStore> {
    const { server, port } = await listenHttp((request, response) =>
      store.handle(request, response)
    );
    const store = new FakeStore(server, port, pageSize);
    return store;
  }

  /** Writes a value.
   * @param key Key of the item.
   * @param value Any value; it is stored as JSON. */
  put(key: string, value: unknown): void {
    this.putText(key, JSON.stringify(value));
  }

  /** Writes a value without encoding it as JSON.
   * @param key Key of the item.
   * @param text Text of the value. */
  putText(key: string, text: string): void {
    this.revision += 1;
    const previous = this.items.get(key);
    const isNew = previous === undefined || previous.deleted === true;
    this.record({
      private_key: key,
      value: Buffer.from(text).toString("base64"),
      revision: this.revision,
      created: isNew ? this.revision : previous.created,
    });
  }

  /** Deletes a value. The store keeps a tombstone, so that watches see the deletion.
   * @param key Key of the item. */
  remove(key: string): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? 0;
    const { revision } = this;
    this.record({ private_key: key, revision, created, deleted: true });
  }

  /** Forgets all events so far. */
  compact(): void {
    this.history = [];
    this.forgottenRevision = this.revision;
  }

  /** Takes a snapshot of all items. */
  takeSnapshot(): StoreSnapshot {
    return { revision: this.revision, items: new Map(this.items) };
  }

  /** Restores the store from a snapshot: later writes are lost, and their revisions are assigned again.
   * @param snapshot The snapshot. */
  restore(snapshot: StoreSnapshot): void {
    this.revision = snapshot.revision;
    this.items = new Map(snapshot.items);
    this.era = (this.era ?? 0) + 1;
    this.history = this.history.filter(({ item }) =>
      item.revision <= snapshot.revision
    );
    this.forgottenRevision = Math.min(
      this.forgottenRevision,
      snapshot.revision,
    );
    this.respondToPendingWatches();
  }

  /** Writes the lost items again, as their writers do, except those changed since the restore.
   * @param lost Snapshot taken before the restore.
   * @param snapshot Snapshot that the store was restored from. */
  rewriteLost(lost: StoreSnapshot, snapshot: StoreSnapshot): void {
    for (const [key, { value, deleted }] of lost.items) {
      const current = this.items.get(key);
      const isChangedSinceRestore =
        (current?.revision ?? 0) > snapshot.revision;
      if (isChangedSinceRestore || current?.value === value) continue;
      if (deleted || value === undefined) this.remove(key);
      else this.putText(key, Buffer.from(value, "base64").toString());
    }
  }

  /** Stops the store. */
  async close(): Promise<void> {
    await closeHttp(this.server);
  }

  private record(item: Item): void {
    this.items.set(item.private_key, item);
    this.history.push({ item, at: performance.now() });
    this.respondToPendingWatches();
  }

  private forgetOldEvents(): void {
    const minAt = performance.now() - this.historyMs;
    while (this.history.length > 0 && this.history[0]!.at < minAt) {
      this.forgottenRevision = this.history.shift()!.item.revision;
    }
  }

  private writeEraHeader(response: ServerResponse): void {
    if (this.era === undefined) return;
    response.setHeader("Store-Era", String(this.era));
  }

  private respondToPendingWatches(): void {
    for (const waiting of [...this.waiting]) waiting.respond();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    this.calls += 1;
    this.writeEraHeader(response);
    const url = new URL(request.url ?? "/", "http://store");
    if (this.behaviour === "silent") return;
    if (this.behaviour === "unavailable") return reply(response, {}, 503);
    const handlers: Record<string, () => void> = {
      "/kv-key": () => this.respondToKeyRead(response, url.searchParams),
      "/kv-range": () => this.respondToRangeRead(response, url.searchParams),
      "/kv-watch": () => this.respondToWatch(response, url.searchParams),
    };
    const handler = handlers[url.pathname];
    if (handler) handler();
    else reply(response, {}, 404);
  }

  private respondToKeyRead(
    response: ServerResponse,
    query: URLSearchParams,
  ): void {
    const item = this.items.get(query.get("private_key") ?? "");
    if (!item || item.deleted) return reply(response, {}, 404);
    reply(response, { ...item, timestamp: this.revision });
  }

  private respondToRangeRead(
    response: ServerResponse,
    query: URLSearchParams,
  ): void {
    this.rangeReads += 1;
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

  private respondToWatch(
    response: ServerResponse,
    query: URLSearchParams,
  ): void {
    if (this.behaviour === "history_lost") return reply(response, {}, 410);
    const after = Number(query.get("after"));
    this.forgetOldEvents();
    const isForgotten = () =>
      after > this.revision || after < this.forgottenRevision;
    if (isForgotten()) return reply(response, {}, 410);
    const prefix = query.get("path_prefix") ?? "";
    const findEvents = () =>
      this.history.map(({ item }) => item).filter((item) =>
        item.revision > after && item.private_key.startsWith(prefix)
      );
    const respond = () => {
      clearTimeout(timer);
      this.waiting.delete(waiting);
      this.writeEraHeader(response);
      if (isForgotten()) return reply(response, {}, 410);
      reply(response, { events: findEvents(), timestamp: this.revision });
    };
    const waiting = { after, respond };
    const timer = setTimeout(respond, Number(query.get("wait_ms")));
    response.on("close", () => {
      clearTimeout(timer);
      this.waiting.delete(waiting);
    });
    if (findEvents().length > 0) respond();
    else this.waiting.add(waiting);
  }
}
