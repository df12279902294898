import { readClock } from "../clock/clock.ts";
import { SMALL_FLEET } from "../peers/host_table.ts";
import { Random } from "../random/random.ts";
import type { CrashMemory } from "./crash_memory.ts";
import type { CrashWord } from "./crash_word.ts";

/** Time in which news is gathered before it is told, in milliseconds. */
const GATHER_MS = 15;
/** Time between two tellings where there is more news than one holds, in milliseconds; bounds what a host spends when many
 * upstreams end at once. */
const NEXT_TELLING_MS = 400;
/** Words in one datagram, some forty bytes each, so that it fits into one packet. */
const MAX_WORDS = 30;
/** Hosts of a large fleet that are told news; each tells it on as often, so that all but two in a thousand of 2,700 hosts
 * hear it within eight tellings (mean of twenty draws). */
const NEWS_FANOUT = 6;
/** Interval at which one host is told part of all that is remembered, in milliseconds: what one that started or was cut off
 * has missed reaches it within some such times. */
const REMINDER_MS = 500;

/** What the task needs. */
export interface CrashGossipOptions {
  memory: CrashMemory;
  /** The other hosts that are heard, by what `send` takes. */
  getHosts: () => readonly string[];
  /** Sends words to one host; they may be lost. */
  send: (host: string, words: readonly CrashWord[]) => void;
}

/** The task by which hosts tell each other which requests were under way on upstreams that crashed. News goes to all hosts
 * at once, in a large fleet by others; reminders reach those that missed it. Nothing is sent while nothing is remembered. */
export class CrashGossip {
  private readonly random = Random.create();
  private readonly reminders: NodeJS.Timeout;
  private telling: NodeJS.Timeout | undefined;

  private constructor(private readonly options: CrashGossipOptions) {
    this.reminders = setInterval(() => this.remind(), REMINDER_MS);
  }

  /** Starts the task.
   * @param options What it needs. */
  static create(options: CrashGossipOptions): CrashGossip {
    return new CrashGossip(options);
  }

  /** Tells other hosts soon what is new. */
  announce(): void {
    this.telling ??= setTimeout(() => this.tell(), GATHER_MS);
  }

  /** Stops the task. */
  close(): void {
    clearInterval(this.reminders);
    clearTimeout(this.telling);
  }

  private tell(): void {
    this.telling = undefined;
    const { memory, getHosts } = this.options;
    const words = memory.takeNews(MAX_WORDS, readClock());
    const hosts = this.random.shuffle(getHosts());
    const told = hosts.length <= SMALL_FLEET
      ? hosts
      : hosts.slice(0, NEWS_FANOUT);
    for (const host of told) this.send(host, words);
    if (memory.hasNews) {
      this.telling = setTimeout(() => this.tell(), NEXT_TELLING_MS);
    }
  }

  private remind(): void {
    const { memory, getHosts } = this.options;
    if (memory.isEmpty) return;
    const [host] = this.random.shuffle(getHosts());
    if (host === undefined) return;
    this.send(host, memory.getReminders(MAX_WORDS, readClock(), this.random));
  }

  private send(host: string, words: readonly CrashWord[]): void {
    if (words.length === 0) return;
    this.options.send(host, words);
  }
}
