import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Host } from "../src/configuration_service/host_schema.ts";
import { closeHttp, listenHttp, reply } from "./http_fake.ts";

/** How the stand-in platform behaves now. */
export type PlatformMode = "up" | "down" | "stale";

interface PublishedValue {
  key: string;
  revision: number;
  value: unknown;
}

interface Waiter {
  isReady: () => boolean;
  answer: () => void;
}

/** A stand-in for the platform: documents with revisions and a list of hosts, to be read and watched only. */
export class FakePlatform {
  mode: PlatformMode = "up";
  /** Calls answered so far. */
  calls = 0;
  /** Changes one reader's list, so that readers disagree or reach each other through proxies. */
  viewFor: (reader: string, hosts: Host[]) => Host[] = (_reader, hosts) =>
    hosts;
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
   * @param port Port to listen on, any free one by default. */
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

  /** Publishes a document; returns its revision.
   * @param key Its key.
   * @param value Its content. */
  publish(key: string, value: unknown): number {
    this.revision += 1;
    this.values.set(key, { key, revision: this.revision, value });
    this.wake();
    return this.revision;
  }

  /** Publishes the list of hosts.
   * @param hosts The hosts. */
  publishHosts(hosts: Host[]): void {
    this.version += 1;
    this.hosts = hosts;
    this.wake();
  }

  /** Serves what is published now, and nothing later, whenever the mode is `stale`. */
  freezeStale(): void {
    this.staleValues = new Map(this.values);
  }

  /** Changes the mode; calls that wait are answered.
   * @param mode The new mode. */
  setMode(mode: PlatformMode): void {
    this.mode = mode;
    this.wake();
  }

  /** Ends the platform. */
  async close(): Promise<void> {
    if (this.server) await closeHttp(this.server);
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://platform");
    const number = (name: string) => Number(url.searchParams.get(name) ?? 0);
    if (url.pathname === "/v1/documents") {
      const isReady = () => this.isChanged(number("after"));
      return this.hold(
        response,
        number("wait"),
        isReady,
        () => this.sendDocuments(response, number("after")),
      );
    }
    if (url.pathname === "/v1/hosts") {
      const reader = url.searchParams.get("reader") ?? "";
      const isReady = () => this.version !== number("version");
      return this.hold(
        response,
        number("wait"),
        isReady,
        () => this.sendHosts(response, reader),
      );
    }
    reply(response, {}, 404);
  }

  private isChanged(after: number): boolean {
    return this.mode === "up" && this.revision > after;
  }

  private hold(
    response: ServerResponse,
    waitMs: number,
    isReady: () => boolean,
    send: () => void,
  ): void {
    this.calls += 1;
    if (waitMs === 0 || isReady() || this.mode === "down") {
      return this.answer(response, send);
    }
    const waiter = { isReady, answer: () => this.answer(response, send) };
    this.waiters.push(waiter);
    setTimeout(() => {
      if (!this.waiters.includes(waiter)) return;
      this.waiters = this.waiters.filter((other) => other !== waiter);
      waiter.answer();
    }, waitMs).unref();
  }

  private answer(response: ServerResponse, send: () => void): void {
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
      hosts: this.viewFor(reader, this.hosts),
    });
  }

  private wake(): void {
    const ready = this.waiters.filter((waiter) =>
      waiter.isReady() || this.mode !== "up"
    );
    this.waiters = this.waiters.filter((waiter) => !ready.includes(waiter));
    for (const waiter of ready) waiter.answer();
  }
}
