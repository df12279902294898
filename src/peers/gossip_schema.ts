import { z } from "zod";
import { HOST_PHASES } from "./host_phase.ts";
import { hostReportsSchema } from "./load_report.ts";
import { hostRumoursSchema } from "./host_rumour.ts";
import { loadCountsSchema, prefixFactsSchema } from "./told_schemas.ts";

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
  /** Grows with each start of the host, each change of its phase and each suspicion that it refutes. */
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

/** What a host tells another of itself and of others, as a list. */
export const gossipSchema = z.tuple([
  peerEntrySchema,
  z.number(),
  z.number().nullable(),
  prefixFactsSchema,
  z.array(z.tuple([peerEntrySchema, z.number()])),
  z.number(),
  z.number(),
  hostRumoursSchema,
  hostReportsSchema,
]).transform((list) => ({
  sender: list[0],
  /** Sender's monotonic milliseconds. */
  sentAt: list[1],
  /** The latest `sentAt` that the sender has from the receiver, or nothing. */
  echo: list[2] ?? undefined,
  /** Which engines were sent which parts of prompts, by short names, and the tokens they had to read. */
  facts: list[3],
  /** Other hosts as the sender last heard of them. */
  others: list[4].map(([entry, agoMs]) => ({ entry, agoMs })),
  /** Number with which the receiver answers; 0 where no answer is asked for. */
  probe: list[5],
  /** Digest of the hosts that the sender takes for live. */
  hostsDigest: list[6],
  /** What the sender believes of other hosts, where that changed lately. */
  rumours: list[7],
  /** In-flight requests of other hosts, as last reported to the sender. */
  reports: list[8],
}));

/** What a host tells another. */
export type GossipMessage = z.infer<typeof gossipSchema>;
