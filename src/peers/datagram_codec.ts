import { pack, unpack } from "msgpackr";
import { z } from "zod";
import { crashWordListSchema, packCrashWord } from "../crashes/crash_word.ts";
import type { Datagram, DatagramOf, DatagramType } from "./datagram.ts";
import { packGossip } from "./pack_gossip.ts";
import { gossipSchema } from "./gossip_schema.ts";
import { hostRumoursSchema, packHostRumours } from "./host_rumour.ts";
import { prefixFactsSchema, prefixSightingsSchema } from "./told_schemas.ts";

/** How the body of one type is written and read. */
interface BodyCodec<Type extends DatagramType> {
  /** Number of the type on the wire. */
  number: number;
  pack: (datagram: DatagramOf<Type>) => unknown[];
  /** Reads a body. */
  schema: z.ZodType<DatagramOf<Type>>;
}

/** A datagram: the number of its type, and its body. */
const packedSchema = z.tuple([z.number()]).rest(z.unknown());

/** How each type is written and read. */
const CODECS: { readonly [Type in DatagramType]: BodyCodec<Type> } = {
  gossip: {
    number: 0,
    pack: ({ message }) => [packGossip(message)],
    schema: z.tuple([gossipSchema]).rest(z.unknown())
      .transform(([message]) => ({ type: "gossip", message })),
  },
  age_question: {
    number: 1,
    pack: ({ askedAt }) => [askedAt],
    schema: z.tuple([z.number()])
      .transform(([askedAt]) => ({ type: "age_question", askedAt })),
  },
  age_answer: {
    number: 2,
    pack: ({ askedAt, word }) => [
      askedAt,
      word.digest,
      word.revision,
      Math.round(word.publicationAgeMs),
    ],
    schema: z.tuple([z.number(), z.number(), z.number(), z.number()])
      .transform(([askedAt, digest, revision, publicationAgeMs]) => {
        const word = { digest, revision, publicationAgeMs };
        return { type: "age_answer", askedAt, word };
      }),
  },
  prefix_facts: {
    number: 3,
    pack: ({ facts }) => [facts],
    schema: z.tuple([prefixFactsSchema])
      .transform(([facts]) => ({ type: "prefix_facts", facts })),
  },
  prefix_question: {
    number: 4,
    pack: ({ number, part }) => [number, part],
    schema: z.tuple([z.number(), z.number()])
      .transform(([number, part]) => ({
        type: "prefix_question",
        number,
        part,
      })),
  },
  prefix_answer: {
    number: 5,
    pack: ({ number, sightings }) => [number, sightings],
    schema: z.tuple([z.number(), prefixSightingsSchema])
      .transform(([number, sightings]) => ({
        type: "prefix_answer",
        number,
        sightings,
      })),
  },
  crash_words: {
    number: 6,
    pack: ({ words }) => [words.map(packCrashWord)],
    schema: z.tuple([z.array(crashWordListSchema)])
      .transform(([words]) => ({ type: "crash_words", words })),
  },
  probe_answer: {
    number: 7,
    pack: ({ number, target, rumours }) => [
      number,
      target,
      packHostRumours(rumours),
    ],
    schema: z.tuple([z.number(), z.string(), hostRumoursSchema])
      .transform(([number, target, rumours]) => (
        { type: "probe_answer", number, target, rumours }
      )),
  },
  probe_request: {
    number: 8,
    pack: ({ number, target }) => [number, target],
    schema: z.tuple([z.number(), z.string()])
      .transform(([number, target]) => (
        { type: "probe_request", number, target }
      )),
  },
  host_rumours: {
    number: 9,
    pack: ({ rumours }) => [packHostRumours(rumours)],
    schema: z.tuple([hostRumoursSchema])
      .transform(([rumours]) => ({ type: "host_rumours", rumours })),
  },
  host_question: {
    number: 10,
    pack: ({ names }) => [names],
    schema: z.tuple([z.array(z.number())])
      .transform(([names]) => ({ type: "host_question", names })),
  },
};

/** By the number of a type on the wire, how its body is read. */
const SCHEMA_BY_NUMBER = new Map<number, z.ZodType<Datagram>>(
  Object.values(CODECS).map(({ number, schema }) => [number, schema]),
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
  return SCHEMA_BY_NUMBER.get(number)?.safeParse(body).data;
}

/** Unpacks bytes; what can't be unpacked is undefined, which the schema then refuses. */
function tryUnpack(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
