import { z } from "zod";
import { loadCountsSchema, prefixFactsSchema } from "./told_schemas.ts";

/** What a host is doing: it takes requests only in `ready`. */
export const HOST_PHASES = ["starting", "ready", "draining"] as const;

/** What a host tells of itself; it travels as a list, for field names would be two thirds of a datagram. */
export const peerEntrySchema = z.tuple([
  z.string(),
  z.number(),
  z.number().int(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number().int().min(0).max(HOST_PHASES.length - 1),
  z.number(),
  z.number(),
  z.number(),
  loadCountsSchema,
]).transform((list) => ({
  id: list[0],
  /** Differs for each start of the host's process. */
  incarnation: list[1],
  /** Grows with each time the host tells of itself. */
  sequence: list[2],
  /** Where it hears gossip, as ip:port. */
  gossipAddress: list[3],
  /** Where it answers other hosts over HTTP, as ip:port. */
  peerAddress: list[4],
  /** Where callers connect, as ip:port. */
  callerAddress: list[5],
  hall: list[6],
  phase: HOST_PHASES[list[7]]!,
  /** Digest of what is published as the host knows it. */
  digest: list[8],
  /** Highest revision it has merged. */
  revision: list[9],
  /** Age of what it knows, in milliseconds; -1 where it knows nothing. */
  publicationAgeMs: list[10],
  /** Requests it has running, by short name of the upstream. */
  loads: list[11],
}));

/** What a host tells of itself. */
export type PeerEntry = z.infer<typeof peerEntrySchema>;

/** What a host tells another of itself and of those it heard, as a list. */
export const gossipSchema = z.tuple([
  peerEntrySchema,
  z.number(),
  z.number().nullable(),
  prefixFactsSchema,
  z.array(z.tuple([peerEntrySchema, z.number()])),
]).transform(([sender, sentAt, echo, facts, others]) => ({
  sender,
  /** Sender's monotonic milliseconds. */
  sentAt,
  /** The latest `sentAt` that the sender has from the receiver, or nothing. */
  echo: echo ?? undefined,
  /** Which engines were sent which parts of prompts, by short names, and the tokens they had to read. */
  facts,
  /** Other hosts as the sender last heard of them. */
  others: others.map(([entry, agoMs]) => ({ entry, agoMs })),
}));

/** What a host tells another. */
export type GossipMessage = z.infer<typeof gossipSchema>;
