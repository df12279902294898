import { z } from "zod";
import { crashWordSchema } from "../crashes/crash_word.ts";
import { hostListSchema } from "../configuration_service/host_schema.ts";
import { publishedValueSchema } from "../configuration/document_schema.ts";

/** Number of the exchange a frame belongs to; unique per connection, chosen by the side that opened it. */
const exchange = z.number().int().nonnegative();
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const headers = z.record(z.string(), z.string());

/** Offers a request to the owner of an upstream. */
export const offerSchema = z.object({
  type: z.literal("offer"),
  exchange,
  requestId: z.string(),
  upstreamId: z.string(),
  work: z.enum(["chat", "call"]),
  method: z.string(),
  path: z.string(),
  headers,
  body: bytes,
  customer: z.string(),
  partner: z.string(),
  priority: z.number(),
  capacityShare: z.number(),
  repeatable: z.boolean(),
  /** Whether the request may wait where the upstream is full. */
  mayQueue: z.boolean(),
  /** Routers that did not answer the entry; where the owner is one of them, the next in order may take the offer. */
  avoids: z.array(z.string()).max(16),
  /** Whether the upstream may be at work on it already, for another owner that was lost. */
  resumes: z.boolean(),
  /** Events of the answer that the caller already has. */
  resumeFrom: z.number().int().nonnegative(),
  remainingMs: z.number(),
});

const frames = [
  offerSchema,
  /** The entry lets the owner send; given at most once for a request. */
  z.object({ type: z.literal("grant"), exchange }),
  /** The entry does not let the owner send. */
  z.object({ type: z.literal("withhold"), exchange }),
  /** The entry wants no more of the exchange. */
  z.object({ type: z.literal("cancel"), exchange }),
  /** The caller has taken some bytes. */
  z.object({
    type: z.literal("credit"),
    exchange,
    bytes: z.number().int().nonnegative(),
  }),
  /** The owner took the offer. */
  z.object({ type: z.literal("accepted"), exchange, queued: z.boolean() }),
  /** The owner did not take the offer; nothing was sent to the upstream. */
  z.object({
    type: z.literal("declined"),
    exchange,
    reason: z.enum(["full", "share", "gone", "stale", "deadline", "moved"]),
    /** Where the reason is `moved`: the router that owns the upstream. */
    owner: z.string(),
    /** Where the reason is `full`: time for which the upstream asked for no requests, in milliseconds. */
    backoffMs: z.number().optional(),
  }),
  /** The owner is about to send and asks for the grant. */
  z.object({ type: z.literal("claim"), exchange }),
  /** Head of an answer; what `chunk` frames carry follows. */
  z.object({
    type: z.literal("head"),
    exchange,
    status: z.number().int(),
    headers,
  }),
  /** Part of an answer, numbered from 0. */
  z.object({
    type: z.literal("chunk"),
    exchange,
    sequence: z.number().int(),
    events: z.number().int(),
    bytes,
  }),
  /** End of a whole answer, with what was sent, for the receiver to compare. */
  z.object({
    type: z.literal("end"),
    exchange,
    chunks: z.number().int(),
    bytes: z.number().int(),
  }),
  /** The upstream failed; `ran` is "no" where not a byte was sent. */
  z.object({
    type: z.literal("failed"),
    exchange,
    ran: z.enum(["no", "unknown"]),
    detail: z.string(),
  }),
  /** Asks a witness to record a key for an attempt. */
  z.object({
    type: z.literal("vote"),
    exchange,
    key: z.string(),
    fingerprint: z.string(),
    attempt: z.string(),
    holder: z.string(),
    /** Attempt that its holder has given up and that this one replaces. */
    replaces: z.string(),
  }),
  /** A witness's answer: what it has recorded for the key. */
  z.object({
    type: z.literal("voted"),
    exchange,
    settled: z.boolean(),
    fingerprint: z.string(),
    attempt: z.string(),
    holder: z.string(),
  }),
  /** Tells a witness that an attempt was certainly not run. */
  z.object({
    type: z.literal("release"),
    exchange,
    key: z.string(),
    attempt: z.string(),
  }),
  /** Hands a record over to a new witness of a key. */
  z.object({
    type: z.literal("record"),
    exchange,
    key: z.string(),
    fingerprint: z.string(),
    attempt: z.string(),
    holder: z.string(),
  }),
  /** Asks a router for the records of keys that the asking router is a witness of. */
  z.object({ type: z.literal("pull_records"), exchange, witness: z.string() }),
  /** Follows the records that were asked for. */
  z.object({ type: z.literal("records_sent"), exchange }),
  /** Asks the holder of an attempt for its outcome. */
  z.object({
    type: z.literal("outcome"),
    exchange,
    attempt: z.string(),
    waitMs: z.number(),
  }),
  /** The outcome of an attempt; `released` means that it was not run and never will be. */
  z.object({
    type: z.literal("outcome_is"),
    exchange,
    state: z.enum(["done", "released", "unknown"]),
    status: z.number().int(),
    headers,
    body: bytes,
  }),
  /** Asks for the configuration values above a revision. */
  z.object({ type: z.literal("pull"), exchange, after: z.number().int() }),
  /** Some configuration values; `last` ends the answer. */
  z.object({
    type: z.literal("values"),
    exchange,
    values: z.array(publishedValueSchema),
    last: z.boolean(),
  }),
  /** Asks for the peer's list of hosts. */
  z.object({ type: z.literal("pull_hosts"), exchange }),
  /** The list of hosts, as the peer last read it. */
  z.object({ type: z.literal("hosts"), exchange, list: hostListSchema }),
  /** Tells which requests were under way on upstreams that crashed; belongs to no exchange. */
  z.object({
    type: z.literal("crash_words"),
    exchange,
    words: z.array(crashWordSchema),
  }),
] as const;

/** A frame between two routers. */
export const frameSchema = z.discriminatedUnion("type", frames);

/** A frame between two routers. */
export type Frame = z.infer<typeof frameSchema>;

/** The frame of one type. */
export type FrameOf<T extends Frame["type"]> = Extract<Frame, { type: T }>;
