import { setTimeout as delay } from "node:timers/promises";
import { getFullText } from "../fakes/response_text.ts";
import { Random } from "../src/random/random.ts";
import { Caller, type ReceivedResponse } from "./caller.ts";

/** Options of a load generator. */
export interface LoadOptions {
  seed: number;
  /** Returns the router addresses of which callers ask for an address to use. */
  routers: () => string[];
  /** Number of concurrent chats by customer. */
  chatsByCustomer: Record<string, number>;
  /** Number of concurrent loops that send bookings. */
  bookingLoops: number;
  /** Tokens of each chat response. */
  responseTokens: number;
  /** Length of a chat's first message, in characters. */
  firstMessageLength: number;
  /** Minimum and maximum pause between two requests of a loop, in milliseconds. */
  pauseMs: [number, number];
  /** Maximum number of times that a booking with an idempotency key is sent until its response is complete. */
  maxBookingAttempts: number;
  /** Number of messages after which a chat ends and the next one begins. */
  turnsPerChat: number;
}

/** A booking and all responses to it. */
export interface BookingRecord {
  /** Body of the request, which identifies the booking. */
  id: string;
  hasIdempotencyKey: boolean;
  responses: ReceivedResponse[];
}

/** Counts and records of the responses that callers received. */
export interface LoadResult {
  chatRequests: number;
  completeChats: number;
  /** Complete responses whose text is not the one that the engine generates for the request. */
  mismatchedChats: number;
  refusedChats: number;
  /** Chat requests whose connection failed or whose stream ended before its end marker. */
  failedChats: number;
  responsesByKind: Record<string, number>;
  bookings: BookingRecord[];
  /** Duration of each complete chat request, in milliseconds. */
  chatDurationsMs: number[];
}

/** Router address that a caller uses until its lifetime expires. */
interface CachedAddress {
  address: string;
  expiresAt: number;
}

/** Generates a load of multi-turn chats and bookings, as many concurrent callers would. */
export class LoadGenerator {
  readonly result: LoadResult = {
    chatRequests: 0,
    completeChats: 0,
    mismatchedChats: 0,
    refusedChats: 0,
    failedChats: 0,
    responsesByKind: {},
    bookings: [],
    chatDurationsMs: [],
  };
  private readonly caller = Caller.create();
  private readonly loops: Promise<void>[] = [];
  private isStopped = false;
  private lastId = 0;

  private constructor(private readonly options: LoadOptions) {}

  /** Starts a load generator.
   * @param options Options of the load. */
  static start(options: LoadOptions): LoadGenerator {
    const load = new LoadGenerator(options);
    let seed = options.seed;
    for (const [customer, chats] of Object.entries(options.chatsByCustomer)) {
      for (let index = 0; index < chats; index++) {
        load.loops.push(load.runChatLoop(customer, Random.create(++seed)));
      }
    }
    for (let index = 0; index < options.bookingLoops; index++) {
      load.loops.push(load.runBookingLoop(Random.create(++seed)));
    }
    return load;
  }

  /** Stops the load once the requests in flight have ended; returns the result. */
  async stop(): Promise<LoadResult> {
    this.isStopped = true;
    await Promise.all(this.loops);
    await this.caller.close();
    return this.result;
  }

  private async runChatLoop(customer: string, random: Random): Promise<void> {
    const cached = { address: "", expiresAt: 0 };
    while (!this.isStopped) {
      const chatId = `chat-${++this.lastId}`;
      const messages = [
        `${chatId} `.repeat(
          Math.ceil(this.options.firstMessageLength / (chatId.length + 1)),
        ),
      ];
      for (
        let turn = 0;
        turn < this.options.turnsPerChat && !this.isStopped;
        turn++
      ) {
        const text = await this.sendChatMessage(
          customer,
          chatId,
          messages,
          cached,
          random,
        );
        if (text === undefined) break;
        messages.push(text, `${chatId} goes on, turn ${turn}`);
        await this.pause(random);
      }
    }
  }

  private async sendChatMessage(
    customer: string,
    chatId: string,
    messages: string[],
    cached: CachedAddress,
    random: Random,
  ): Promise<string | undefined> {
    const startedAt = performance.now();
    const tokens = this.options.responseTokens;
    const router = await this.chooseRouter(cached, random);
    const reply = await this.caller.chat(
      { customer, router },
      chatId,
      messages,
      tokens,
    );
    const { result } = this;
    result.chatRequests += 1;
    this.recordResponse(reply, cached);
    if (!reply.isComplete) {
      if (reply.status === 200 || reply.status === 0) result.failedChats += 1;
      else result.refusedChats += 1;
      await this.pause(random);
      return undefined;
    }
    result.completeChats += 1;
    result.chatDurationsMs.push(performance.now() - startedAt);
    if (reply.text !== getFullText(messages.at(-1)!, tokens)) {
      result.mismatchedChats += 1;
    }
    return reply.text;
  }

  private async runBookingLoop(random: Random): Promise<void> {
    const cached = { address: "", expiresAt: 0 };
    while (!this.isStopped) {
      const id = `booking-${++this.lastId}`;
      const record: BookingRecord = {
        id,
        hasIdempotencyKey: random.fraction() < 0.7,
        responses: [],
      };
      this.result.bookings.push(record);
      const maxAttempts = record.hasIdempotencyKey
        ? this.options.maxBookingAttempts
        : 1;
      for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const router = await this.chooseRouter(cached, random);
        const options = {
          customer: "rodar/dispatch",
          router,
          timeoutMs: 8_000,
        };
        const response = await this.caller.book(
          options,
          id,
          record.hasIdempotencyKey ? id : undefined,
        );
        record.responses.push(response);
        this.recordResponse(response, cached);
        if (response.isComplete) break;
        await delay(random.integer(5, 400));
      }
      await this.pause(random);
    }
  }

  /** Returns the cached address or asks up to three routers for one; falls back to a known router if none gives any. */
  private async chooseRouter(
    cached: CachedAddress,
    random: Random,
  ): Promise<string> {
    if (performance.now() < cached.expiresAt) return cached.address;
    const routers = random.shuffle(this.options.routers());
    for (const router of routers.slice(0, 3)) {
      const response = await this.caller.locate(router);
      if (response.addresses.length === 0) continue;
      cached.address = random.pick(response.addresses);
      cached.expiresAt = performance.now() + response.lifetimeMs;
      return cached.address;
    }
    return routers[0]!;
  }

  /** Records a response; after a failed connection the cached address is dropped. */
  private recordResponse(
    response: ReceivedResponse,
    cached: CachedAddress,
  ): void {
    if (response.status === 0) cached.expiresAt = 0;
    this.countKind(response);
  }

  private countKind(response: ReceivedResponse): void {
    const kind = response.isComplete ? "complete" : response.kind;
    this.result.responsesByKind[kind] =
      (this.result.responsesByKind[kind] ?? 0) + 1;
  }

  private async pause(random: Random): Promise<void> {
    await delay(random.integer(...this.options.pauseMs));
  }
}
