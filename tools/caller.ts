import { Agent, request } from "undici";
import { DONE_LINE, engineEventSchema } from "../src/upstream/engine_event.ts";

/** A response as the caller received it. */
export interface ReceivedResponse {
  status: number;
  /** Error kind, "" if the response is complete, or an error code if the connection failed. */
  kind: string;
  /** Value of the `x-beechkeel-ran` header, which says whether the request ran; "" without that header and `unknown` if
   * the connection failed. */
  ran: string;
  /** Whether the response has no error and, if it is an event stream, reached its end marker. */
  isComplete: boolean;
  text: string;
  retryAfter: string;
  isReplayed: boolean;
  router: string;
}

/** Addresses that a router recommends, with the time for which they are valid. */
export interface LocateResponse {
  addresses: string[];
  lifetimeMs: number;
}

/** Sender, target and timeout of a request. */
export interface CallOptions {
  customer: string;
  router: string;
  timeoutMs?: number;
}

/** HTTP client that sends requests to routers as a caller does. */
export class Caller {
  private readonly agent = new Agent({ keepAliveTimeout: 1_000 });

  private constructor() {}

  /** Creates a caller without open connections. */
  static create(): Caller {
    return new Caller();
  }

  /** Asks a router which addresses to use; returns none if it does not respond.
   * @param router Address of the router. */
  async locate(router: string): Promise<LocateResponse> {
    try {
      const response = await request(`http://${router}/locate`, {
        dispatcher: this.agent,
        headersTimeout: 2_000,
      });
      const body = await response.body.json() as Partial<LocateResponse>;
      return {
        addresses: body.addresses ?? [],
        lifetimeMs: body.lifetimeMs ?? 0,
      };
    } catch {
      return { addresses: [], lifetimeMs: 0 };
    }
  }

  /** Sends a chat request and collects the streamed response.
   * @param options Sender and target of the request.
   * @param chatId Id of the chat.
   * @param messages All messages of the chat so far.
   * @param responseTokens Length of the response in tokens. */
  async chat(
    options: CallOptions,
    chatId: string,
    messages: string[],
    responseTokens = 20,
  ): Promise<ReceivedResponse> {
    const body = JSON.stringify({
      model: "m1",
      stream: true,
      chat_id: chatId,
      max_tokens: responseTokens,
      messages: messages.map((content, index) => ({
        role: index % 2 === 0 ? "user" : "assistant",
        content,
      })),
    });
    const response = await this.send(options, "/v1/chat/completions", body, {});
    return response.status === 200
      ? { ...response, ...parseEventStream(response.text) }
      : response;
  }

  /** Sends a non-repeatable request to the bookings service.
   * @param options Sender and target of the request.
   * @param body Body of the request.
   * @param key Idempotency key, if any. */
  async book(
    options: CallOptions,
    body: string,
    key?: string,
  ): Promise<ReceivedResponse> {
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

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    options: CallOptions,
    path: string,
    body: string,
    headers: Record<string, string>,
  ): Promise<ReceivedResponse> {
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
      const getHeader = (name: string) => String(response.headers[name] ?? "");
      return {
        status: response.statusCode,
        kind: getHeader("x-beechkeel-error"),
        ran: getHeader("x-beechkeel-ran"),
        isComplete: getHeader("x-beechkeel-error") === "",
        text,
        retryAfter: getHeader("retry-after"),
        isReplayed: getHeader("x-beechkeel-replayed") === "yes",
        router: options.router,
      };
    } catch (error) {
      const kind = (error as { code?: string }).code ?? "connection";
      return { ...FAILED_CONNECTION, kind, router: options.router };
    }
  }
}

const FAILED_CONNECTION: ReceivedResponse = {
  status: 0,
  kind: "connection",
  ran: "unknown",
  isComplete: false,
  text: "",
  retryAfter: "",
  isReplayed: false,
  router: "",
};

function parseEventStream(
  stream: string,
): Pick<ReceivedResponse, "isComplete" | "text" | "kind"> {
  let text = "";
  let isComplete = false;
  for (const line of stream.split("\n\n")) {
    if (line === DONE_LINE) isComplete = true;
    else if (line.startsWith("data: ")) {
      const event = engineEventSchema.parse(
        JSON.parse(line.slice("data: ".length)),
      );
      text += event.choices?.[0]?.delta.content ?? "";
    }
  }
  return { isComplete, text, kind: isComplete ? "" : "stream_broken" };
}
