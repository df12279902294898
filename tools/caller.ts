import { Agent, request } from "undici";
import { DONE_LINE, engineEventSchema } from "../src/upstream/engine_event.ts";

/** An answer as a caller received it. */
export interface ReceivedAnswer {
  status: number;
  /** Error kind, or "" where the answer is whole. */
  kind: string;
  /** What the router said of whether the request ran; "" where the answer is whole. */
  ran: string;
  /** Whether the answer came to its end marker. */
  whole: boolean;
  text: string;
  retryAfter: string;
  replayed: boolean;
  router: string;
}

/** Addresses a router tells, and for how long. */
export interface LocateAnswer {
  addresses: string[];
  lifetimeMs: number;
}

/** One request of a caller. */
export interface CallOptions {
  customer: string;
  router: string;
  timeoutMs?: number;
}

/** Sends requests as a caller does. */
export class Caller {
  private readonly agent = new Agent({ keepAliveTimeout: 1_000 });

  private constructor() {}

  /** Creates a caller without connections. */
  static create(): Caller {
    return new Caller();
  }

  /** Asks a router which addresses to use; returns none where it does not answer.
   * @param router Address of the router. */
  async locate(router: string): Promise<LocateAnswer> {
    try {
      const response = await request(`http://${router}/locate`, {
        dispatcher: this.agent,
        headersTimeout: 2_000,
      });
      const body = await response.body.json() as Partial<LocateAnswer>;
      return {
        addresses: body.addresses ?? [],
        lifetimeMs: body.lifetimeMs ?? 0,
      };
    } catch {
      return { addresses: [], lifetimeMs: 0 };
    }
  }

  /** Sends one message of a chat and takes the streamed answer.
   * @param options Who sends it where.
   * @param chatId The chat.
   * @param messages The chat so far.
   * @param tokens Length of the answer. */
  async chat(
    options: CallOptions,
    chatId: string,
    messages: string[],
    tokens = 20,
  ): Promise<ReceivedAnswer> {
    const body = JSON.stringify({
      model: "m1",
      stream: true,
      chat_id: chatId,
      max_tokens: tokens,
      messages: messages.map((content, index) => ({
        role: index % 2 === 0 ? "user" : "assistant",
        content,
      })),
    });
    const answer = await this.send(options, "/v1/chat/completions", body, {});
    return answer.status === 200
      ? { ...answer, ...readStream(answer.text) }
      : answer;
  }

  /** Calls the bookings service with a request that may not be repeated.
   * @param options Who sends it where.
   * @param body Body of the request.
   * @param key Idempotency key, where there is one. */
  async book(
    options: CallOptions,
    body: string,
    key?: string,
  ): Promise<ReceivedAnswer> {
    const headers: Record<string, string> = key === undefined
      ? {}
      : { "idempotency-key": key };
    return await this.send(
      options,
      "/v1/services/bookings/confirm",
      body,
      headers,
    );
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    options: CallOptions,
    path: string,
    body: string,
    headers: Record<string, string>,
  ): Promise<ReceivedAnswer> {
    const timeout: Record<string, string> = options.timeoutMs
      ? { "x-beechkeel-timeout-ms": String(options.timeoutMs) }
      : {};
    try {
      const response = await request(`http://${options.router}${path}`, {
        method: "POST",
        dispatcher: this.agent,
        headers: {
          "content-type": "application/json",
          "x-beechkeel-customer": options.customer,
          ...timeout,
          ...headers,
        },
        body,
        headersTimeout: 60_000,
        bodyTimeout: 60_000,
      });
      const text = await response.body.text();
      const header = (name: string) => String(response.headers[name] ?? "");
      return {
        status: response.statusCode,
        kind: header("x-beechkeel-error"),
        ran: header("x-beechkeel-ran"),
        whole: header("x-beechkeel-error") === "",
        text,
        retryAfter: header("retry-after"),
        replayed: header("x-beechkeel-replayed") === "yes",
        router: options.router,
      };
    } catch (error) {
      const kind = (error as { code?: string }).code ?? "connection";
      return { ...BROKEN, kind, router: options.router };
    }
  }
}

const BROKEN: ReceivedAnswer = {
  status: 0,
  kind: "connection",
  ran: "unknown",
  whole: false,
  text: "",
  retryAfter: "",
  replayed: false,
  router: "",
};

function readStream(
  stream: string,
): Pick<ReceivedAnswer, "whole" | "text" | "kind"> {
  let text = "";
  let whole = false;
  for (const line of stream.split("\n\n")) {
    if (line === DONE_LINE) whole = true;
    else if (line.startsWith("data: ")) {
      const event = engineEventSchema.parse(
        JSON.parse(line.slice("data: ".length)),
      );
      text += event.choices?.[0]?.delta.content ?? "";
    }
  }
  return { whole, text, kind: whole ? "" : "stream_broken" };
}
