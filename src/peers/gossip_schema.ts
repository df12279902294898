import { z } from "zod";

/** What a host is doing: it takes requests only in `ready`. */
export const HOST_PHASES = ["starting", "ready", "draining"] as const;

/** What a host tells of itself. */
export const peerEntrySchema = z.object({
  id: z.string(),
  /** Differs for each start of the host's process. */
  incarnation: z.number(),
  /** Grows with each time the host tells of itself. */
  sequence: z.number().int(),
  /** Where it hears gossip, as ip:port. */
  gossipAddress: z.string(),
  /** Where it answers other hosts over HTTP, as ip:port. */
  peerAddress: z.string(),
  /** Where callers connect, as ip:port. */
  callerAddress: z.string(),
  hall: z.string(),
  phase: z.enum(HOST_PHASES),
  /** Digest of what is published as the host knows it. */
  digest: z.number(),
  /** Highest revision it has merged. */
  revision: z.number(),
  /** Age of what it knows, in milliseconds; -1 where it knows nothing. */
  publicationAgeMs: z.number(),
  /** Requests it has running, by short name of the upstream. */
  loads: z.array(z.tuple([z.number(), z.number()])),
});

/** What a host tells of itself. */
export type PeerEntry = z.infer<typeof peerEntrySchema>;

/** One datagram. */
export const gossipSchema = z.object({
  sender: peerEntrySchema,
  /** Sender's monotonic milliseconds. */
  sentAt: z.number(),
  /** The latest `sentAt` that the sender has from the receiver, or nothing. */
  echo: z.number().optional(),
  /** Which engines were sent which parts of prompts, by short names, and the tokens they had to read. */
  facts: z.array(z.tuple([z.number(), z.number(), z.number()])),
  /** Other hosts as the sender last heard of them. */
  others: z.array(z.object({ entry: peerEntrySchema, agoMs: z.number() })),
});

/** One datagram. */
export type GossipMessage = z.infer<typeof gossipSchema>;
