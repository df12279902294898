import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Host } from "../src/configuration_service/host_schema.ts";
import { closeHttp, listenHttp, reply } from "./http_fake.ts";

/** Mode of a fake platform: `up` serves what is published, `down` closes connections without a response, `stale`
 * serves the pinned documents. */
export type PlatformMode = "up" | "down" | "stale";

interface PublishedValue {
  key: string;
  revision: number;
  value: unknown;
}

interface Waiter {
  isReady: () => boolean;
  respond: () => void;
}

/** A fake platform that serves documents with revisions and a list of hosts, for reading and long polling only. */
export class FakePlatform {
  mode: PlatformMode = "up";
  /** Number of calls to known paths received so far. */
  calls = 0;
  /** Maps the list of hosts for one reader, so that readers see different lists or reach each other through proxies. */
  selectHostsFor: (reader: string, hosts: Host[]) => Host[] = (
    _reader,
    hosts,
  ) => hosts;
  private values = new Map<string, PublishedValue>();
  private staleValues = new Map<string, PublishedValue>();
  private revision = 0;
  private version = 0;
  private hosts: Host[] = [];
  private waiters: Waiter[] = [];
  private server: Server | undefined;
  private listeningPort = 0;

  private constructor() {}

  /** Starts a platform.
   * @param port Port to listen on; any free port by default. */
  static async create(port = 0): Promise<FakePlatform> {
    const platform = new FakePlatform();
    const listening = await listenHttp(
      (request, response) => platform.handle(request, response),
      port,
    );
    platform.server = listening.server;
    platform.listeningPort = listening.port;
    return platform;
  }

  get port(): number {
    return this.listeningPort;
  }

  get url(): string {
    return `http://127.0.0.1:${this.listeningPort}`;
  }

  /** Publishes a document. Returns its revision.
   * @param key Key of the document.
   * @param value Content of the document. */
  publish(key: string, value: unknown): number {
    this.revision += 1;
    this.values.set(key, { key, revision: this.revision, value });
    this.respondToReadyWaiters();
    return this.revision;
  }

  /** Publishes the list of hosts.
   * @param hosts The hosts. */
  publishHosts(hosts: Host[]): void {
    this.version += 1;
    this.hosts = hosts;
    this.respondToReadyWaiters();
  }

  /** Pins the documents published so far as those served in the `stale` mode. */
  pinStaleValues(): void {
    this.staleValues = new Map(this.values);
  }

  /** Changes the mode. Pending long polls end unless the new mode is `up` and there is nothing new.
   * @param mode The new mode. */
  setMode(mode: PlatformMode): void {
    this.mode = mode;
    this.respondToReadyWaiters();
  }

  /** Stops the platform. */
  async close(): Promise<void> {
    if (this.server) await closeHttp(this.server);
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://platform");
    const number = (name: string) => Number(url.searchParams.get(name) ?? 0);
    if (url.pathname === "/v1/documents") {
      const isReady = () => this.hasNewerDocuments(number("after"));
      return this.longPoll(
        response,
        number("wait"),
        isReady,
        () => this.sendDocuments(response, number("after")),
      );
    }
    if (url.pathname === "/v1/hosts") {
      const reader = url.searchParams.get("reader") ?? "";
      const isReady = () => this.version !== number("version");
      return this.longPoll(
        response,
        number("wait"),
        isReady,
        () => this.sendHosts(response, reader),
      );
    }
    reply(response, {}, 404);
  }

  private hasNewerDocuments(after: number): boolean {
    return this.mode === "up" && this.revision > after;
  }

  private longPoll(
    response: ServerResponse,
    waitMs: number,
    isReady: () => boolean,
    send: () => void,
  ): void {
    this.calls += 1;
    if (waitMs === 0 || isReady() || this.mode === "down") {
      return this.respond(response, send);
    }
    const waiter = { isReady, respond: () => this.respond(response, send) };
    this.waiters.push(waiter);
    setTimeout(() => {
      if (!this.waiters.includes(waiter)) return;
      this.waiters = this.waiters.filter((other) => other !== waiter);
      waiter.respond();
    }, waitMs).unref();
  }

  private respond(response: ServerResponse, send: () => void): void {
    if (this.mode === "down") response.destroy();
    else send();
  }

  private sendDocuments(response: ServerResponse, after: number): void {
    const source = this.mode === "stale" ? this.staleValues : this.values;
    const values = [...source.values()].filter((value) =>
      value.revision > after || this.mode === "stale"
    );
    reply(response, {
      revision: this.revision,
      values: values.sort((a, b) => a.revision - b.revision),
    });
  }

  private sendHosts(response: ServerResponse, reader: string): void {
    reply(response, {
      version: this.version,
      hosts: this.selectHostsFor(reader, this.hosts),
    });
  }

  private respondToReadyWaiters(): void {
    const ready = this.waiters.filter((waiter) =>
      waiter.isReady() || this.mode !== "up"
    );
    this.waiters = this.waiters.filter((waiter) => !ready.includes(waiter));
    for (const waiter of ready) waiter.respond();
  }
}
