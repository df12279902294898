import { setTimeout as delay } from "node:timers/promises";
import { Client } from "undici";
import type { GatewayProcess } from "./gateway_process.ts";
import type { PlannedStream } from "./stream_durations.ts";
import { isRefused, isWhole, type StopStream } from "./stop_stream.ts";

/** Host name of the requests. */
export const STOP_HOST = "stop.example";
/** API key of the callers. */
export const STOP_KEY = "stop-key";
/** Time for which callers wait for a stream, in milliseconds. */
export const DEADLINE_MS = 12_000;
/** Maximum number of requests with which a caller resumes or repeats a stream. */
const MAX_ATTEMPTS = 3;
/** Pause of a slow reader after each part that it reads, in milliseconds. */
const SLOW_READ_MS = 60;

/** What a caller asks for. */
export interface StreamOrder {
  name: string;
  plan: PlannedStream;
  eventBytes: number;
  readsSlowly: boolean;
  /** Whether its route may be resumed. */
  isResumable: boolean;
}

/** Callers that keep their connections open until the gateway closes them. */
export class StopCallers {
  readonly streams: StopStream[] = [];
  private readonly idle = new Map<string, Client[]>();
  private readonly clients = new Set<Client>();

  private constructor() {}

  /** Creates callers without connections. */
  static create(): StopCallers {
    return new StopCallers();
  }

  /** Asks for a stream, and resumes or repeats it at other gateways until it is whole.
   * @param order The stream.
   * @param chooseGateway Returns the gateway for the next request. */
  async run(
    order: StreamOrder,
    chooseGateway: (attempt: number) => GatewayProcess | undefined,
  ): Promise<void> {
    let previous: StopStream | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const gateway = chooseGateway(attempt);
      if (!gateway) return;
      const stream = await this.send(order, gateway, attempt, previous);
      if (isWhole(stream)) return;
      if (!order.isResumable && !isRefused(stream)) return;
      previous = stream;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.clients].map((client) => client.destroy()));
  }

  private async send(
    order: StreamOrder,
    { id, callerAddress }: GatewayProcess,
    attempt: number,
    previous: StopStream | undefined,
  ): Promise<StopStream> {
    const { events, pauseMs } = order.plan;
    const stream: StopStream = {
      requestId: `${order.name}-${attempt}`,
      gateway: id,
      sentAt: performance.now(),
      endedAt: undefined,
      status: undefined,
      lastEvent: previous?.lastEvent ?? 0,
      events,
      pauseMs,
      isCut: false,
      attempt,
    };
    this.streams.push(stream);
    const client = this.acquire(callerAddress);
    try {
      await readStream(client, order, stream, previous);
      if (!client.destroyed) this.idle.get(callerAddress)!.push(client);
    } catch {
      stream.isCut = true;
      this.clients.delete(client);
      void client.destroy();
    }
    stream.endedAt = performance.now();
    return stream;
  }

  private acquire(address: string): Client {
    const idle = this.idle.get(address) ?? [];
    this.idle.set(address, idle);
    const known = idle.pop();
    if (known) return known;
    const client = new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.clients.add(client);
    return client;
  }
}

async function readStream(
  client: Client,
  { plan, eventBytes, readsSlowly, isResumable }: StreamOrder,
  stream: StopStream,
  previous: StopStream | undefined,
): Promise<void> {
  const { events, pauseMs, lengthHint } = plan;
  const headers: Record<string, string> = {
    host: STOP_HOST,
    "x-beechkeel-attempt-id": stream.requestId,
    "x-beechkeel-deadline-ms": String(DEADLINE_MS),
    "x-beechkeel-model": "m",
    "x-beechkeel-token-usage": "800,665",
    "x-beechkeel-prefix-hash": `a1:700,${stream.requestId}:100`,
    "x-beechkeel-length-hint": String(lengthHint),
    "x-api-key": STOP_KEY,
  };
  if (previous && previous.lastEvent > 0) {
    headers["last-event-id"] = String(previous.lastEvent);
    headers["resumes"] = previous.requestId;
  }
  const kind = isResumable ? "chat" : "talk";
  const response = await client.request({
    method: "POST",
    path: `/${kind}/chat/${events}/${pauseMs}/${eventBytes}/x`,
    headers,
    body: "x",
  });
  stream.status = response.statusCode;
  let text = "";
  for await (const part of response.body) {
    text = readEvents(text + String(part), stream);
    if (readsSlowly) await delay(SLOW_READ_MS);
  }
}

/** Counts the whole events of a text; returns the rest. */
function readEvents(text: string, stream: StopStream): string {
  const parts = text.split("\n\n");
  const rest = parts.pop()!;
  for (const part of parts) {
    const id = /^id: (\d+)/.exec(part)?.[1];
    if (id !== undefined) stream.lastEvent = Number(id);
  }
  return rest;
}
