import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import type { Host } from "../configuration_service/host_schema.ts";
import { readClock } from "../clock/clock.ts";
import { checkConnection } from "../crashes/connection_check.ts";
import { ByteAccumulator } from "../http/byte_accumulator.ts";
import { isFramed } from "../http/is_framed.ts";
import { MAX_BODY_BYTES, MAX_STREAM_BYTES } from "../http/response_limits.ts";
import {
  checkUpstreamRuns,
  type Pauses,
} from "../upstreams/check_upstream_runs.ts";
import {
  Availability,
  type AvailabilityChange,
} from "../upstreams/availability.ts";
import { readAvailabilityNotice } from "../upstreams/read_availability_notice.ts";
import { DeferredAbort } from "./deferred_abort.ts";
import { EventStreamParser, type ParsedEvents } from "./event_stream_parser.ts";
import { UpstreamError } from "./upstream_error.ts";

const reportSchema = z.object({
  inFlight: z.number().int().nonnegative(),
  leaving: z.boolean(),
  fence: z.number().int().default(0),
  models: z.array(z.string()).optional(),
});

/** Status report of an upstream. */
export type UpstreamReport = z.infer<typeof reportSchema>;

/** A request to an upstream. */
export interface UpstreamRequest {
  requestId: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  priority: number;
  repeatable: boolean;
  /** Number of events of the response that the caller already has. */
  resumeFrom: number;
  /** Id of this attempt at the request; a later attempt at the same request takes over its stream. */
  attempt: string;
  signal: AbortSignal;
}

/** A complete response of a service. */
export interface ServiceResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** Header in every response of a leaving upstream. */
const LEAVING_HEADER = { name: "x-leaving", value: "true" };
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;

/** HTTP client of one upstream; encapsulates the upstream protocol. */
export class UpstreamClient {
  private readonly agent: Agent;
  private readonly url: string;
  /** Called when the availability of the upstream has changed. */
  onAvailabilityChange: (change: AvailabilityChange) => void = () => undefined;
  private currentAvailability = this.createAvailability();
  private leavingSeenAt = -Infinity;

  private constructor(
    host: Host,
    private readonly stallTimeoutMs: number,
    private readonly pauses: Pauses,
  ) {
    this.url = `http://${host.address}:${host.port}`;
    this.agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: 2_000,
      maxResponseSize: MAX_STREAM_BYTES,
      pipelining: 1,
    });
  }

  /** Creates a client without connections.
   * @param host The upstream.
   * @param stallTimeoutMs Time without received data after which a request fails, in milliseconds.
   * @param pauses Detects pauses of this process; by default there are none. */
  static create(
    host: Host,
    stallTimeoutMs: number,
    pauses: Pauses = { hasPausedWithin: () => false },
  ): UpstreamClient {
    return new UpstreamClient(host, stallTimeoutMs, pauses);
  }

  /** Whether the upstream accepts requests, according to its responses. */
  get availability(): Availability {
    return this.currentAvailability;
  }

  /** Reads the upstream's report. If the upstream announced that it is leaving, and a report that was requested later
   * does not say so, the report is from another instance, and the availability starts afresh.
   * @throws UpstreamError if the response status is not 200. */
  async readReport(): Promise<UpstreamReport> {
    const requestedAt = readClock();
    const response = await request(`${this.url}/report`, {
      dispatcher: this.agent,
      headersTimeout: REPORT_TIMEOUT_MS,
      bodyTimeout: REPORT_TIMEOUT_MS,
    });
    this.recordAvailability(response);
    if (response.statusCode !== 200) throw await this.refused(response);
    const report = reportSchema.parse(await response.body.json());
    const isOtherInstance = this.currentAvailability.isLeaving &&
      !report.leaving &&
      response.headers[LEAVING_HEADER.name] === undefined &&
      requestedAt > this.leavingSeenAt;
    if (isOtherInstance) this.currentAvailability = this.createAvailability();
    return report;
  }

  /** Sends a fenced order and returns whether the upstream accepted it.
   * @param fence Revision that the order is based on; an upstream that checks fences refuses one below the last.
   * @param models Models to serve. */
  async sendOrder(fence: number, models: readonly string[]): Promise<boolean> {
    const response = await request(`${this.url}/orders`, {
      method: "POST",
      dispatcher: this.agent,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ fence, models }),
      headersTimeout: REPORT_TIMEOUT_MS,
    });
    this.recordAvailability(response);
    await response.body.dump();
    return response.statusCode === 200;
  }

  /** Tells an engine to stop working on a request; failures are ignored.
   * @param requestId The request.
   * @param attempt Id of the attempt to cancel; if another attempt has taken over the stream, the engine continues. */
  async cancel(requestId: string, attempt: string): Promise<void> {
    const path = `${this.url}/v1/requests/${
      encodeURIComponent(requestId)
    }/cancel`;
    await request(path, {
      method: "POST",
      dispatcher: this.agent,
      headers: { "x-attempt": attempt },
      headersTimeout: REPORT_TIMEOUT_MS,
    })
      .then((response) => {
        this.recordAvailability(response);
        return response.body.dump();
      }, () => undefined);
  }

  /** Runs a chat and yields its events as they arrive; completes only after the engine's end marker. Reads the response
   * body to its end, so that the connection can be reused.
   * @param work The request. */
  async *streamChat(work: UpstreamRequest): AsyncGenerator<ParsedEvents> {
    const response = await this.send(work, this.agent);
    if (response.statusCode !== 200) throw await this.refused(response);
    if (response.headers["x-request-id"] !== work.requestId) {
      response.body.destroy();
      throw UpstreamError.create("unknown", "the answer names another request");
    }
    const parser = EventStreamParser.create(work.requestId, work.resumeFrom);
    response.body.setEncoding("utf8");
    for await (const text of response.body) {
      const parsed = parser.push(text as string);
      if (parsed.events.length > 0 || parsed.done) yield parsed;
    }
    if (!parser.isDone) {
      throw UpstreamError.create(
        "unknown",
        "the stream ended before its end marker",
      );
    }
  }

  /** Calls a service and returns its complete response.
   * @param work The request; one that may not be repeated uses a connection of its own. */
  async call(work: UpstreamRequest): Promise<ServiceResponse> {
    const dispatcher = work.repeatable ? this.agent : new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_BODY_BYTES,
    });
    try {
      const response = await this.send(work, dispatcher);
      if (response.headers["x-not-run"] === "true") {
        throw await this.refused(response);
      }
      return await this.readResponse(response, work.requestId);
    } finally {
      if (dispatcher !== this.agent) void dispatcher.destroy();
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    work: UpstreamRequest,
    dispatcher: Dispatcher,
  ): Promise<Dispatcher.ResponseData> {
    const { currentAvailability: availability } = this;
    if (!availability.acceptsRequests(readClock())) {
      throw UpstreamError.create(
        "no",
        "the upstream takes no requests",
      );
    }
    const isTrial = availability.beginRequest();
    let wasAccepted = false;
    try {
      const response = await this.dispatch(work, dispatcher);
      this.recordAvailability(response);
      wasAccepted = response.headers["x-not-run"] !== "true";
      if (work.signal.aborted) throw discardResponse(response);
      return response;
    } finally {
      if (isTrial) availability.endTrial(wasAccepted);
    }
  }

  private createAvailability(): Availability {
    const availability = Availability.create();
    availability.onChange = (change) => this.onAvailabilityChange(change);
    return availability;
  }

  /** Records what a response states about the availability of the upstream. */
  private recordAvailability(
    { statusCode, headers }: Dispatcher.ResponseData,
  ): void {
    const now = readClock();
    const notice = readAvailabilityNotice(statusCode, headers, LEAVING_HEADER);
    if (notice.isLeaving) this.leavingSeenAt = now;
    this.currentAvailability.recordNotice(notice, now);
  }

  private async dispatch(
    work: UpstreamRequest,
    dispatcher: Dispatcher,
  ): Promise<Dispatcher.ResponseData> {
    work.signal.throwIfAborted();
    const abort = DeferredAbort.create(work.signal, readClock());
    const response = await request(this.url + work.path, {
      method: work.method as Dispatcher.HttpMethod,
      dispatcher,
      signal: abort.signal,
      headers: {
        ...work.headers,
        "x-request-id": work.requestId,
        "x-attempt": work.attempt,
        "x-priority": String(work.priority),
        "x-resume-from": String(work.resumeFrom),
      },
      body: work.body.length > 0 ? work.body : null,
      headersTimeout: this.stallTimeoutMs,
      bodyTimeout: this.stallTimeoutMs,
    });
    abort.recordResponseHead();
    return response;
  }

  private async readResponse(
    response: Dispatcher.ResponseData,
    requestId: string,
  ): Promise<ServiceResponse> {
    const body = await readWholeBody(response);
    if (!isFramed(response.headers)) await this.checkRunning();
    if (response.headers["x-request-id"] !== requestId) {
      throw UpstreamError.create("unknown", "the answer names another request");
    }
    const contentType = String(
      response.headers["content-type"] ?? "application/octet-stream",
    );
    return {
      status: response.statusCode,
      headers: { "content-type": contentType },
      body,
    };
  }

  /** Checks that the upstream still runs after a response that ended with its connection, as it does in a crash.
   * @throws UpstreamError if it does not. */
  private async checkRunning(): Promise<void> {
    const { host } = new URL(this.url);
    const checks = { checkAddress: () => checkConnection(host) };
    if (await checkUpstreamRuns(checks, this.pauses) === "taken") return;
    throw UpstreamError.create(
      "unknown",
      "the upstream ended with its answer, which has no length",
    );
  }

  private async refused(
    response: Dispatcher.ResponseData,
  ): Promise<UpstreamError> {
    await response.body.dump();
    const ran = response.headers["x-not-run"] === "true" ? "no" : "unknown";
    return UpstreamError.create(
      ran,
      `the upstream answered ${response.statusCode}`,
    );
  }
}

/** Reads a response body.
 * @throws UpstreamError if it exceeds the limit; its connection is then closed. */
async function readWholeBody(
  { body }: Dispatcher.ResponseData,
): Promise<Buffer> {
  const collected = ByteAccumulator.create();
  for await (const bytes of body) {
    collected.append(bytes as Buffer);
    if (collected.length > MAX_BODY_BYTES) {
      throw UpstreamError.create(
        "unknown",
        `a body of more than ${MAX_BODY_BYTES} bytes`,
      );
    }
  }
  return collected.take();
}

/** Discards a response that nobody waits for any more; returns the error to throw instead. */
function discardResponse(response: Dispatcher.ResponseData): UpstreamError {
  response.body.destroy();
  return UpstreamError.create("unknown", "the request was aborted");
}
