import type { CrashWord } from "../crashes/crash_word.ts";
import type { PrefixFact, PrefixSighting } from "../upstreams/prefix_index.ts";
import type { GossipMessage } from "./gossip_schema.ts";
import type { HostSighting } from "./host_table.ts";
import type { PublicationWord } from "./publication_word.ts";

/** What hosts send each other in one datagram. */
export type Datagram =
  | { type: "gossip"; message: GossipMessage }
  /** Asks what the receiver knows of the publication and of other hosts; `askedAt` is the asking host's clock, and
   * `phase` the index of what it is doing; `unknown` are short names of hosts whose entries it lacks. */
  | {
    type: "age_question";
    askedAt: number;
    phase: number;
    unknown: readonly number[];
  }
  /** Answers such a question, with its `askedAt`. */
  | {
    type: "age_answer";
    askedAt: number;
    word: PublicationWord;
    hosts: readonly HostSighting[];
  }
  /** Tells which engines were sent which parts of prompts. */
  | { type: "prefix_facts"; facts: readonly PrefixFact[] }
  /** Asks which engines keep a part of a prompt; the number tells answers apart. */
  | { type: "prefix_question"; number: number; part: number }
  /** Answers such a question, with its number. */
  | {
    type: "prefix_answer";
    number: number;
    sightings: readonly PrefixSighting[];
  }
  /** Tells which requests were under way on upstreams that crashed. */
  | { type: "crash_words"; words: readonly CrashWord[] };

/** Type of a datagram. */
export type DatagramType = Datagram["type"];

/** A datagram of one type. */
export type DatagramOf<Type extends DatagramType> = Extract<
  Datagram,
  { type: Type }
>;
