import { z } from "zod";
import {
  completionCountSchema,
  heldPartsSchema,
} from "../crashes/crash_news.ts";
import { crashReportSchema } from "../crashes/crash_report.ts";
import { hostListSchema } from "../configuration_service/host_schema.ts";
import { publishedValueSchema } from "../configuration/document_schema.ts";

/** Number of the exchange that a frame belongs to, which is a request and its responses. Exchanges are multiplexed over
 * a connection. The number is unique per connection and chosen by the side that opened the exchange; frames that belong
 * to no exchange carry 0. */
const exchange = z.number().int().nonnegative();
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const headers = z.record(z.string(), z.string());

/** Offers a request to the owner of an upstream. The sender is the entry: the router that the caller connected to. */
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
  /** Whether the request may be queued if the upstream is full. */
  mayQueue: z.boolean(),
  /** Ids of routers that did not respond to the entry; if the owner is one of them, the next router in rank may
   * accept. */
  avoids: z.array(z.string()).max(16),
  /** Whether the upstream may already be running the request for a failed owner. */
  resumes: z.boolean(),
  /** Number of events of the response that the caller already has. */
  resumeFrom: z.number().int().nonnegative(),
  remainingMs: z.number(),
});

const frames = [
  offerSchema,
  /** The entry permits the owner to send the request to the upstream; granted at most once per request. */
  z.object({ type: z.literal("grant"), exchange }),
  /** The entry refuses the owner permission to send the request to the upstream. */
  z.object({ type: z.literal("withhold"), exchange }),
  /** The entry cancels the exchange. */
  z.object({ type: z.literal("cancel"), exchange }),
  /** Flow control: the caller has consumed this many bytes of the response. */
  z.object({
    type: z.literal("credit"),
    exchange,
    bytes: z.number().int().nonnegative(),
  }),
  /** The owner accepted the offer. */
  z.object({ type: z.literal("accepted"), exchange, queued: z.boolean() }),
  /** The owner declined the offer; nothing was sent to the upstream. */
  z.object({
    type: z.literal("declined"),
    exchange,
    reason: z.enum(["full", "share", "gone", "stale", "deadline", "moved"]),
    /** Id of the router that owns the upstream; empty if the reason is not `moved`. */
    owner: z.string(),
    /** Time for which the upstream asked for no requests, in milliseconds; only if the reason is `full`. */
    backoffMs: z.number().optional(),
  }),
  /** The owner is about to send the request to the upstream and asks the entry for a `grant`. */
  z.object({ type: z.literal("claim"), exchange }),
  /** Status and headers of a response; its body follows in `chunk` frames. */
  z.object({
    type: z.literal("head"),
    exchange,
    status: z.number().int(),
    headers,
  }),
  /** Part of the body of a response, numbered from 0. */
  z.object({
    type: z.literal("chunk"),
    exchange,
    sequence: z.number().int(),
    events: z.number().int(),
    bytes,
  }),
  /** End of a complete response, with the number of chunks and bytes sent, so that the receiver can detect a loss. */
  z.object({
    type: z.literal("end"),
    exchange,
    chunks: z.number().int(),
    bytes: z.number().int(),
  }),
  /** The request failed at the upstream; `ran` is "no" if not a byte was sent to it. */
  z.object({
    type: z.literal("failed"),
    exchange,
    ran: z.enum(["no", "unknown"]),
    detail: z.string(),
  }),
  /** Asks a witness to record an attempt for an idempotency key. */
  z.object({
    type: z.literal("vote"),
    exchange,
    key: z.string(),
    fingerprint: z.string(),
    attempt: z.string(),
    holder: z.string(),
    /** Id of an attempt that its holder gave up and this one replaces, or an empty string. */
    replaces: z.string(),
  }),
  /** Response of a witness to `vote`: the attempt that it has recorded for the key. */
  z.object({
    type: z.literal("voted"),
    exchange,
    /** Whether the witness would know of any earlier attempt with the key. */
    settled: z.boolean(),
    fingerprint: z.string(),
    attempt: z.string(),
    holder: z.string(),
  }),
  /** Tells a witness that an attempt was certainly not run, so that it drops the record. */
  z.object({
    type: z.literal("release"),
    exchange,
    key: z.string(),
    attempt: z.string(),
  }),
  /** Transfers a key record to a router that is or becomes a witness of the key. */
  z.object({
    type: z.literal("record"),
    exchange,
    key: z.string(),
    fingerprint: z.string(),
    attempt: z.string(),
    holder: z.string(),
  }),
  /** Requests the records of the keys that the sender is a witness of. */
  z.object({ type: z.literal("pull_records"), exchange, witness: z.string() }),
  /** End of the records requested by `pull_records`. */
  z.object({ type: z.literal("records_sent"), exchange }),
  /** Asks the holder of an attempt for its outcome, waiting up to `waitMs` for it. */
  z.object({
    type: z.literal("outcome"),
    exchange,
    attempt: z.string(),
    waitMs: z.number(),
  }),
  /** Response to `outcome`; `released` means that the attempt was not run and never will be. */
  z.object({
    type: z.literal("outcome_is"),
    exchange,
    state: z.enum(["done", "released", "unknown"]),
    status: z.number().int(),
    headers,
    body: bytes,
  }),
  /** Requests the configuration values with a revision above `after`. */
  z.object({ type: z.literal("pull"), exchange, after: z.number().int() }),
  /** Part of the response to `pull`; `last` marks its end. */
  z.object({
    type: z.literal("values"),
    exchange,
    values: z.array(publishedValueSchema),
    last: z.boolean(),
  }),
  /** Requests the peer's host list. */
  z.object({ type: z.literal("pull_hosts"), exchange }),
  /** Response to `pull_hosts`: the host list that the peer uses. */
  z.object({ type: z.literal("hosts"), exchange, list: hostListSchema }),
  /** Gossips which requests were in flight on upstreams that crashed; belongs to no exchange. */
  z.object({
    type: z.literal("crash_words"),
    exchange,
    words: z.array(crashReportSchema),
    completions: z.array(completionCountSchema),
    heldParts: heldPartsSchema,
  }),
] as const;

/** Schema of the frames that routers exchange. */
export const frameSchema = z.discriminatedUnion("type", frames);

/** A frame between two routers. */
export type Frame = z.infer<typeof frameSchema>;

/** The frame of a given type. */
export type FrameOf<T extends Frame["type"]> = Extract<Frame, { type: T }>;
