import { pack, unpack } from "msgpackr";
import { z } from "zod";
import { packGossip, unpackGossip } from "./gossip_codec.ts";
import type { GossipMessage } from "./gossip_schema.ts";
import type { PublicationWord } from "./publication_word.ts";

/** What hosts send each other in one datagram. */
export type Datagram =
  | { type: "gossip"; message: GossipMessage }
  /** Asks what the receiver knows of the publication; `askedAt` is the asking host's clock. */
  | { type: "question"; askedAt: number }
  /** Answers a question, with its `askedAt`. */
  | { type: "answer"; askedAt: number; word: PublicationWord };

/** Numbers of the types on the wire. */
const NUMBERS = { gossip: 0, question: 1, answer: 2 } as const;

const packedSchema = z.tuple([z.number()]).rest(z.unknown());
const questionSchema = z.tuple([z.number()]);
const answerSchema = z.tuple([z.number(), z.number(), z.number(), z.number()]);

/** Reads what follows the type's number; a body that is malformed is undefined. */
type Decoder = (body: unknown[]) => Datagram | undefined;

const DECODERS: Readonly<Record<number, Decoder>> = {
  [NUMBERS.gossip]: decodeGossip,
  [NUMBERS.question]: decodeQuestion,
  [NUMBERS.answer]: decodeAnswer,
};

/** Writes a datagram.
 * @param datagram What it holds. */
export function encodeDatagram(datagram: Datagram): Buffer {
  return pack([NUMBERS[datagram.type], ...packBody(datagram)]);
}

/** Reads a datagram; one that is malformed is undefined.
 * @param bytes The datagram. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  const packed = packedSchema.safeParse(tryUnpack(bytes));
  if (!packed.success) return undefined;
  const [number, ...body] = packed.data;
  return DECODERS[number]?.(body);
}

function packBody(datagram: Datagram): unknown[] {
  if (datagram.type === "gossip") return [packGossip(datagram.message)];
  if (datagram.type === "question") return [datagram.askedAt];
  const { digest, revision, publicationAgeMs } = datagram.word;
  return [datagram.askedAt, digest, revision, Math.round(publicationAgeMs)];
}

function decodeGossip([body]: unknown[]): Datagram | undefined {
  const message = unpackGossip(body);
  return message && { type: "gossip", message };
}

function decodeQuestion(body: unknown[]): Datagram | undefined {
  const parsed = questionSchema.safeParse(body);
  return parsed.success
    ? { type: "question", askedAt: parsed.data[0] }
    : undefined;
}

function decodeAnswer(body: unknown[]): Datagram | undefined {
  const parsed = answerSchema.safeParse(body);
  if (!parsed.success) return undefined;
  const [askedAt, digest, revision, publicationAgeMs] = parsed.data;
  const word = { digest, revision, publicationAgeMs };
  return { type: "answer", askedAt, word };
}

/** Unpacks bytes; what can't be unpacked is undefined, which the schema then refuses. */
function tryUnpack(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
