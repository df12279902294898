import type { CrashWord } from "../crashes/crash_word.ts";
import type { PrefixFact, PrefixSighting } from "../upstreams/prefix_index.ts";
import type { GossipMessage } from "./gossip_schema.ts";
import type { HostRumour } from "./host_rumour.ts";
import type { PublicationWord } from "./publication_word.ts";

/** What hosts send each other in one datagram. */
export type Datagram =
  | { type: "gossip"; message: GossipMessage }
  /** Answers the probe of a number; `target` is the host that was probed, by its gossip address. */
  | {
    type: "probe_answer";
    number: number;
    target: string;
    rumours: readonly HostRumour[];
  }
  /** Asks the receiver to probe a host and to answer with the number where the host does. */
  | { type: "probe_request"; number: number; target: string }
  /** Tells what the sender believes of hosts. */
  | { type: "host_rumours"; rumours: readonly HostRumour[] }
  /** Asks for the entries of hosts, by their short names. */
  | { type: "host_question"; names: readonly number[] }
  /** Asks what the receiver knows of the publication; `askedAt` is the asking host's clock. */
  | { type: "age_question"; askedAt: number }
  /** Answers such a question, with its `askedAt`. */
  | { type: "age_answer"; askedAt: number; word: PublicationWord }
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
