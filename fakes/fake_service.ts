import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { closeHttp, listenHttp, reply } from "./http_fake.ts";
import { Ledger } from "./ledger.ts";
import {
  applyAvailability,
  type UpstreamAvailability,
} from "./upstream_availability.ts";

/** Options of a fake service. */
export interface FakeServiceOptions {
  id: string;
  /** Duration of one call in milliseconds. */
  callMs: number;
  /** Port to listen on; 0 selects any free port. */
  port: number;
}

/** A fault that a service injects into its responses. */
export type ServiceFault = "none" | "crossed" | "silent";

/** A fake plain service, such as one that takes bookings, with a ledger of every run. */
export class FakeService implements UpstreamAvailability {
  readonly ledger = Ledger.create();
  fault: ServiceFault = "none";
  leaving = false;
  backoffSeconds: number | undefined;
  announcesLeaving = false;
  private inFlight = 0;
  private server: Server | undefined;
  private listeningPort = 0;

  private constructor(readonly options: FakeServiceOptions) {}

  /** Starts a service.
   * @param options Options that differ from the defaults. */
  static async create(
    options: Partial<FakeServiceOptions> = {},
  ): Promise<FakeService> {
    const service = new FakeService({
      id: "service",
      callMs: 10,
      port: 0,
      ...options,
    });
    const { server, port } = await listenHttp(
      (request, response, body) => service.handle(request, response, body),
      service.options.port,
    );
    service.server = server;
    service.listeningPort = port;
    return service;
  }

  get port(): number {
    return this.listeningPort;
  }

  /** Stops the service; calls in progress are cut off. */
  async close(): Promise<void> {
    if (this.server) await closeHttp(this.server);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    if (applyAvailability(response, this)) return;
    if (request.url === "/report") {
      return reply(response, {
        inFlight: this.inFlight,
        leaving: this.leaving,
      });
    }
    if (this.leaving) {
      this.ledger.declinedAt.push(Date.now());
      response.setHeader("x-not-run", "true");
      return reply(response, { error: "leaving" }, 503);
    }
    const requestId = String(request.headers["x-request-id"]);
    const run = {
      requestId,
      key: String(request.headers["idempotency-key"] ?? ""),
      chat: "",
      startedAt: Date.now(),
      endedAt: undefined as number | undefined,
      promptTokens: 0,
      cachedTokens: 0,
      resumeFrom: 0,
      body,
    };
    this.ledger.runs.push(run);
    this.ledger.recordLoad(++this.inFlight);
    await delay(this.options.callMs);
    this.ledger.recordLoad(--this.inFlight);
    run.endedAt = Date.now();
    if (this.fault === "silent") return;
    const responseRequestId = this.fault === "crossed"
      ? "another-request"
      : requestId;
    response.setHeader("x-request-id", responseRequestId);
    reply(response, {
      confirmed: true,
      key: run.key,
      path: request.url,
      method: request.method,
      echo: body,
    });
  }
}
