import { readClock } from "../clock/clock.ts";
import { HostRing } from "../hashing/host_ring.ts";
import type { PrefixFact, PrefixIndex } from "../upstreams/prefix_index.ts";
import type { DatagramSocket } from "./datagram_socket.ts";

/** Hosts that are told which engines keep a part, so that one may be lost. */
const KEEPERS = 2;
/** Time in which facts are gathered before they are told, in milliseconds. */
const GATHER_MS = 15;
/** Facts in one datagram, so that it fits into one packet. */
const MAX_FACTS = 80;
/** Time for which a request waits for an answer, in milliseconds: some times the way there and back within a region, and
 * little beside the objectives of streams. */
const ANSWER_WITHIN_MS = 15;
/** Time for which the ring of hosts is used before it is built anew, in milliseconds: two rounds of gossip. */
const RING_USED_FOR_MS = 400;

/** What the directory needs. */
export interface PrefixDirectoryOptions {
  socket: DatagramSocket;
  prefixes: PrefixIndex;
  /** Gossip address of this host. */
  ownAddress: string;
  /** Gossip addresses of the other hosts that are heard and stay. */
  getHosts: () => readonly string[];
}

/** A question that waits for its answers. */
interface Waiting {
  part: number;
  answersLeft: number;
  resolve: () => void;
}

/** In a large fleet, finds out which engines keep a part of a prompt: two hosts, which follow from the part's name, are
 * told by whoever sends the part somewhere, and asked by whoever does not know. */
export class PrefixDirectory {
  private readonly waiting = new Map<number, Waiting>();
  private readonly gathered = new Map<string, PrefixFact[]>();
  private ring = HostRing.create([]);
  private ringBuiltAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private asked = 0;

  private constructor(private readonly options: PrefixDirectoryOptions) {
    const { socket, prefixes } = options;
    socket.handle(
      "prefix_facts",
      ({ facts }) => prefixes.learn(facts, readClock()),
    );
    socket.handle("prefix_question", ({ number, part }, sender) => {
      const sightings = prefixes.getSightings(part, readClock());
      socket.send(sender, { type: "prefix_answer", number, sightings });
    });
    socket.handle("prefix_answer", ({ number, sightings }) => {
      const question = this.waiting.get(number);
      if (!question) return;
      prefixes.recall(question.part, sightings, readClock());
      question.answersLeft -= 1;
      const isDone = sightings.length > 0 || question.answersLeft === 0;
      if (isDone) question.resolve();
    });
  }

  /** Creates a directory.
   * @param options What it needs. */
  static create(options: PrefixDirectoryOptions): PrefixDirectory {
    return new PrefixDirectory(options);
  }

  /** Tells the keepers of each part, soon.
   * @param facts What is told. */
  tell(facts: readonly PrefixFact[]): void {
    for (const fact of facts) {
      for (const keeper of this.getKeepers(fact[0])) {
        const gathered = this.gathered.get(keeper) ?? [];
        gathered.push(fact);
        this.gathered.set(keeper, gathered);
      }
    }
    this.timer ??= setTimeout(() => this.sendGathered(), GATHER_MS);
  }

  /** Asks the keepers of a part, unless this host knows of it; resolves with the first answer, or without one when it is
   * late. Nothing is returned where nobody is asked.
   * @param part Short name of the part. */
  learn(part: number): Promise<void> | undefined {
    if (this.options.prefixes.isKeptAnywhere(part, readClock())) {
      return undefined;
    }
    const keepers = this.getKeepers(part);
    return keepers.length === 0 ? undefined : this.ask(part, keepers);
  }

  /** Ends what waits. */
  close(): void {
    clearTimeout(this.timer);
    for (const question of this.waiting.values()) question.resolve();
  }

  private async ask(part: number, keepers: readonly string[]): Promise<void> {
    this.asked += 1;
    const number = this.asked;
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      this.waiting.set(number, { part, answersLeft: keepers.length, resolve });
      timer = setTimeout(resolve, ANSWER_WITHIN_MS);
      for (const keeper of keepers) {
        this.options.socket.send(keeper, {
          type: "prefix_question",
          number,
          part,
        });
      }
    });
    clearTimeout(timer);
    this.waiting.delete(number);
  }

  private sendGathered(): void {
    this.timer = undefined;
    for (const [keeper, facts] of this.gathered) {
      for (let first = 0; first < facts.length; first += MAX_FACTS) {
        this.options.socket.send(keeper, {
          type: "prefix_facts",
          facts: facts.slice(first, first + MAX_FACTS),
        });
      }
    }
    this.gathered.clear();
  }

  /** Gossip addresses of the hosts that keep the facts of a part, but for this one. */
  private getKeepers(part: number): string[] {
    const { ownAddress, getHosts } = this.options;
    const now = readClock();
    if (now - this.ringBuiltAt > RING_USED_FOR_MS) {
      this.ring = HostRing.create([...getHosts(), ownAddress]);
      this.ringBuiltAt = now;
    }
    return this.ring.getFollowing(part, KEEPERS).filter((keeper) =>
      keeper !== ownAddress
    );
  }
}
