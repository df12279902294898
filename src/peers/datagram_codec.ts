import { pack, unpack } from "msgpackr";
import { z } from "zod";
import type { PrefixFact, PrefixSighting } from "../upstreams/prefix_index.ts";
import { packGossip, unpackGossip } from "./gossip_codec.ts";
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
  };

/** Type of a datagram. */
export type DatagramType = Datagram["type"];

/** A datagram of one type. */
export type DatagramOf<Type extends DatagramType> = Extract<
  Datagram,
  { type: Type }
>;

/** How the body of one type is written and read. */
interface BodyCodec<Type extends DatagramType> {
  /** Number of the type on the wire. */
  number: number;
  pack: (datagram: DatagramOf<Type>) => unknown[];
  /** Reads a body; one that is malformed is undefined. */
  unpack: (body: unknown[]) => DatagramOf<Type> | undefined;
}

const packedSchema = z.tuple([z.number()]).rest(z.unknown());
const twoNumbers = z.tuple([z.number(), z.number()]);
const ageQuestionSchema = z.tuple([
  z.number(),
  z.number(),
  z.array(z.number()),
]);
const ageAnswerSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.number(), z.number(), z.number()])),
]);
const factsSchema = z.tuple([
  z.array(z.tuple([z.number(), z.number(), z.number()])),
]);
const sightingsSchema = z.tuple([z.number(), z.array(twoNumbers)]);

const CODECS: { readonly [Type in DatagramType]: BodyCodec<Type> } = {
  gossip: {
    number: 0,
    pack: ({ message }) => [packGossip(message)],
    unpack: ([body]) => {
      const message = unpackGossip(body);
      return message && { type: "gossip", message };
    },
  },
  age_question: {
    number: 1,
    pack: ({ askedAt, phase, unknown }) => [askedAt, phase, unknown],
    unpack: (body) => {
      const parsed = ageQuestionSchema.safeParse(body).data;
      if (!parsed) return undefined;
      const [askedAt, phase, unknown] = parsed;
      return { type: "age_question", askedAt, phase, unknown };
    },
  },
  age_answer: {
    number: 2,
    pack: ({ askedAt, word, hosts }) => [
      askedAt,
      word.digest,
      word.revision,
      Math.round(word.publicationAgeMs),
      hosts,
    ],
    unpack: (body) => {
      const parsed = ageAnswerSchema.safeParse(body).data;
      if (!parsed) return undefined;
      const [askedAt, digest, revision, publicationAgeMs, hosts] = parsed;
      const word = { digest, revision, publicationAgeMs };
      return { type: "age_answer", askedAt, word, hosts };
    },
  },
  prefix_facts: {
    number: 3,
    pack: ({ facts }) => [facts],
    unpack: (body) => {
      const parsed = factsSchema.safeParse(body).data;
      return parsed && { type: "prefix_facts", facts: parsed[0] };
    },
  },
  prefix_question: {
    number: 4,
    pack: ({ number, part }) => [number, part],
    unpack: (body) => {
      const parsed = twoNumbers.safeParse(body).data;
      if (!parsed) return undefined;
      const [number, part] = parsed;
      return { type: "prefix_question", number, part };
    },
  },
  prefix_answer: {
    number: 5,
    pack: ({ number, sightings }) => [number, sightings],
    unpack: (body) => {
      const parsed = sightingsSchema.safeParse(body).data;
      if (!parsed) return undefined;
      const [number, sightings] = parsed;
      return { type: "prefix_answer", number, sightings };
    },
  },
};

const CODEC_BY_NUMBER = new Map(
  Object.values(CODECS).map((codec) => [codec.number, codec]),
);

/** Writes a datagram.
 * @param datagram What it holds. */
export function encodeDatagram(datagram: Datagram): Buffer {
  const codec = CODECS[datagram.type] as BodyCodec<DatagramType>;
  return pack([codec.number, ...codec.pack(datagram)]);
}

/** Reads a datagram; one that is malformed is undefined.
 * @param bytes The datagram. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  const packed = packedSchema.safeParse(tryUnpack(bytes));
  if (!packed.success) return undefined;
  const [number, ...body] = packed.data;
  return CODEC_BY_NUMBER.get(number)?.unpack(body);
}

/** Unpacks bytes; what can't be unpacked is undefined, which the schema then refuses. */
function tryUnpack(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
