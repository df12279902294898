import { z } from "zod";
import {
  type GossipMessage,
  gossipSchema,
  HOST_PHASES,
  type PeerEntry,
} from "./gossip_schema.ts";

/** A host's entry as a list, in the order of `packEntry`; field names would be two thirds of a datagram. */
const packedEntrySchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.number(), z.number()])),
]);

const packedMessageSchema = z.tuple([
  packedEntrySchema,
  z.number(),
  z.number().nullable(),
  z.array(z.tuple([z.number(), z.number(), z.number()])),
  z.array(z.tuple([packedEntrySchema, z.number()])),
]);

/** Writes a message as lists.
 * @param message The message. */
export function packGossip(message: GossipMessage): unknown[] {
  return [
    packEntry(message.sender),
    message.sentAt,
    message.echo ?? null,
    message.facts,
    message.others.map(({ entry, agoMs }) => [packEntry(entry), agoMs]),
  ];
}

/** Reads a message from its lists; what is none is undefined.
 * @param body The lists. */
export function unpackGossip(body: unknown): GossipMessage | undefined {
  const packed = packedMessageSchema.safeParse(body);
  if (!packed.success) return undefined;
  const [sender, sentAt, echo, facts, others] = packed.data;
  const message = gossipSchema.safeParse({
    sender: unpackEntry(sender),
    sentAt,
    echo: echo ?? undefined,
    facts,
    others: others.map(([entry, agoMs]) => ({
      entry: unpackEntry(entry),
      agoMs,
    })),
  });
  return message.data;
}

function packEntry(entry: PeerEntry): z.infer<typeof packedEntrySchema> {
  return [
    entry.id,
    entry.incarnation,
    entry.sequence,
    entry.gossipAddress,
    entry.peerAddress,
    entry.callerAddress,
    entry.hall,
    HOST_PHASES.indexOf(entry.phase),
    entry.digest,
    entry.revision,
    Math.round(entry.publicationAgeMs),
    entry.loads,
  ];
}

function unpackEntry(packed: z.infer<typeof packedEntrySchema>): unknown {
  const [
    id,
    incarnation,
    sequence,
    gossipAddress,
    peerAddress,
    callerAddress,
    hall,
    phase,
    digest,
    revision,
    publicationAgeMs,
    loads,
  ] = packed;
  return {
    id,
    incarnation,
    sequence,
    gossipAddress,
    peerAddress,
    callerAddress,
    hall,
    phase: HOST_PHASES[phase],
    digest,
    revision,
    publicationAgeMs,
    loads,
  };
}
