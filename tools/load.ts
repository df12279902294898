import { setTimeout as delay } from "node:timers/promises";
import { getWholeText } from "../fakes/answer_text.ts";
import { Random } from "../src/random/random.ts";
import { Caller, type ReceivedAnswer } from "./caller.ts";

/** What a load does. */
export interface LoadOptions {
  seed: number;
  /** Addresses that callers know at first. */
  routers: () => string[];
  /** Chats that go on at once, per customer. */
  chats: Record<string, number>;
  /** Bookers that go on at once. */
  bookers: number;
  /** Tokens of one answer. */
  answerTokens: number;
  /** Characters of a chat's first message. */
  openingLength: number;
  /** Least and greatest pause between two messages of a chat. */
  pauseMs: [number, number];
  /** Times a booking with no certain end is sent again. */
  bookingTries: number;
  /** Messages after which a chat ends and another begins. */
  turns: number;
}

/** One booking with all answers to it. */
export interface BookingRecord {
  /** Body of the request, which names it. */
  id: string;
  keyed: boolean;
  answers: ReceivedAnswer[];
}

/** What callers received. */
export interface LoadResult {
  chats: number;
  wholeChats: number;
  /** Whole answers that were not what the engine had to say. */
  wrongChats: number;
  refusedChats: number;
  brokenChats: number;
  kinds: Record<string, number>;
  bookings: BookingRecord[];
  /** Time of each whole chat, in milliseconds. */
  chatTimes: number[];
}

/** The address a caller was told, until its lifetime is over. */
interface KeptAddress {
  address: string;
  until: number;
}

/** A load of returning chats and bookings, as many callers make it. */
export class Load {
  readonly result: LoadResult = {
    chats: 0,
    wholeChats: 0,
    wrongChats: 0,
    refusedChats: 0,
    brokenChats: 0,
    kinds: {},
    bookings: [],
    chatTimes: [],
  };
  private readonly caller = Caller.create();
  private readonly workers: Promise<void>[] = [];
  private isStopped = false;
  private count = 0;

  private constructor(private readonly options: LoadOptions) {}

  /** Starts a load.
   * @param options What it does. */
  static start(options: LoadOptions): Load {
    const load = new Load(options);
    let seed = options.seed;
    for (const [customer, chats] of Object.entries(options.chats)) {
      for (let index = 0; index < chats; index++) {
        load.workers.push(load.chatOn(customer, Random.create(++seed)));
      }
    }
    for (let index = 0; index < options.bookers; index++) {
      load.workers.push(load.bookOn(Random.create(++seed)));
    }
    return load;
  }

  /** Ends the load after the requests under way. */
  async stop(): Promise<LoadResult> {
    this.isStopped = true;
    await Promise.all(this.workers);
    await this.caller.close();
    return this.result;
  }

  private async chatOn(customer: string, random: Random): Promise<void> {
    const kept = { address: "", until: 0 };
    while (!this.isStopped) {
      const chatId = `chat-${++this.count}`;
      const messages = [
        `${chatId} `.repeat(
          Math.ceil(this.options.openingLength / (chatId.length + 1)),
        ),
      ];
      for (let turn = 0; turn < this.options.turns && !this.isStopped; turn++) {
        const text = await this.chatOnce(
          customer,
          chatId,
          messages,
          kept,
          random,
        );
        if (text === undefined) break;
        messages.push(text, `${chatId} goes on, turn ${turn}`);
        await this.pause(random);
      }
    }
  }

  private async chatOnce(
    customer: string,
    chatId: string,
    messages: string[],
    kept: KeptAddress,
    random: Random,
  ): Promise<string | undefined> {
    const startedAt = performance.now();
    const tokens = this.options.answerTokens;
    const router = await this.chooseRouter(kept, random);
    const answer = await this.caller.chat(
      { customer, router },
      chatId,
      messages,
      tokens,
    );
    const { result } = this;
    result.chats += 1;
    this.note(answer, kept);
    if (!answer.whole) {
      if (answer.status === 200 || answer.status === 0) result.brokenChats += 1;
      else result.refusedChats += 1;
      await this.pause(random);
      return undefined;
    }
    result.wholeChats += 1;
    result.chatTimes.push(performance.now() - startedAt);
    if (answer.text !== getWholeText(messages.at(-1)!, tokens)) {
      result.wrongChats += 1;
    }
    return answer.text;
  }

  private async bookOn(random: Random): Promise<void> {
    const kept = { address: "", until: 0 };
    while (!this.isStopped) {
      const id = `booking-${++this.count}`;
      const record: BookingRecord = {
        id,
        keyed: random.fraction() < 0.7,
        answers: [],
      };
      this.result.bookings.push(record);
      const tries = record.keyed ? this.options.bookingTries : 1;
      for (let attempt = 0; attempt < tries; attempt++) {
        const router = await this.chooseRouter(kept, random);
        const options = {
          customer: "rodar/dispatch",
          router,
          timeoutMs: 8_000,
        };
        const answer = await this.caller.book(
          options,
          id,
          record.keyed ? id : undefined,
        );
        record.answers.push(answer);
        this.note(answer, kept);
        if (answer.whole) break;
        await delay(random.integer(5, 400));
      }
      await this.pause(random);
    }
  }

  /** Returns the address a caller keeps, or asks for one; uses the router asked where it gives none. */
  private async chooseRouter(
    kept: KeptAddress,
    random: Random,
  ): Promise<string> {
    if (performance.now() < kept.until) return kept.address;
    const known = random.shuffle(this.options.routers());
    for (const router of known.slice(0, 3)) {
      const found = await this.caller.locate(router);
      if (found.addresses.length === 0) continue;
      kept.address = random.pick(found.addresses);
      kept.until = performance.now() + found.lifetimeMs;
      return kept.address;
    }
    return known[0]!;
  }

  /** Takes note of an answer; a caller whose connection failed asks for an address anew. */
  private note(answer: ReceivedAnswer, kept: KeptAddress): void {
    if (answer.status === 0) kept.until = 0;
    this.countKind(answer);
  }

  private countKind(answer: ReceivedAnswer): void {
    const kind = answer.whole ? "whole" : answer.kind;
    this.result.kinds[kind] = (this.result.kinds[kind] ?? 0) + 1;
  }

  private async pause(random: Random): Promise<void> {
    await delay(random.integer(...this.options.pauseMs));
  }
}
