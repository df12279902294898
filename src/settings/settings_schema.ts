import { z } from "zod";

const port = z.number().int().min(0).max(65535);
const milliseconds = z.number().int().min(1).max(3_600_000);
const endpoint = z.strictObject({ host: z.ipv4().default("127.0.0.1"), port });

const limitsSchema = z.strictObject({
  maxBodyBytes: z.number().int().min(1).default(4 * 1024 * 1024),
  maxHeaderBytes: z.number().int().min(1024).default(16 * 1024),
  /** Time for the head of a request to arrive. */
  headerTimeoutMs: milliseconds.default(5_000),
  /** Time for a whole request to arrive. */
  requestTimeoutMs: milliseconds.default(15_000),
  maxOpenRequests: z.number().int().min(1).default(5_000),
  /** Bytes that may be under way to one caller before the upstream is paused. */
  streamWindowBytes: z.number().int().min(16 * 1024).default(256 * 1024),
});

const routingSchema = z.strictObject({
  /** How upstreams are chosen; all but `bounded` are baselines for measurements. */
  policy: z.enum([
    "bounded",
    "rendezvous",
    "random",
    "least_loaded",
    "power_of_two",
  ]).default("bounded"),
  /** No engine carries more than this multiple of the mean of its pool. */
  boundMultiple: z.number().min(1.25).max(10).default(2),
  /** Requests an engine may always carry, however low the mean is. */
  minimumCap: z.number().int().min(1).default(4),
  /** Requests that may wait per upstream. */
  queueLimit: z.number().int().min(0).default(256),
  /** Upstreams that are asked before a request waits in a queue. */
  candidateLimit: z.number().int().min(1).default(8),
  /** Time in which the owner of an upstream must acknowledge a request. */
  acceptTimeoutMs: milliseconds.default(700),
  /** Time allowed for a request that names none. */
  defaultDeadlineMs: milliseconds.default(60_000),
  /** Silence of an upstream in the middle of an answer that counts as failure. */
  stallTimeoutMs: milliseconds.default(4_000),
  /** Interval at which the owner reads an upstream's report. */
  reportIntervalMs: milliseconds.default(500),
  /** Retries allowed per first attempt, over the recent past. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  /** Retries allowed at any time, however few first attempts there were. */
  retryReserve: z.number().int().min(0).default(50),
});

const membershipSchema = z.strictObject({
  probeIntervalMs: milliseconds.default(500),
  probeTimeoutMs: milliseconds.default(250),
  /** Peers probed per interval. */
  probeFanout: z.number().int().min(1).default(3),
  /** Time from suspicion until a silent peer counts as dead. */
  suspicionMs: milliseconds.default(1_500),
  /** Gap in the own event loop after which every belief counts as stale. */
  pauseThresholdMs: milliseconds.default(1_000),
});

const keysSchema = z.strictObject({
  /** Time for which an idempotency key is remembered. */
  rememberMs: milliseconds.default(600_000),
  /** Time after which a new witness counts as one that has seen every key. */
  settleMs: milliseconds.default(15_000),
  /** Time a witness has to answer. */
  voteTimeoutMs: milliseconds.default(600),
  /** Difference of clocks allowed for when a key carries its time. */
  clockSkewMs: milliseconds.default(2_000),
});

/** The schema of a router's settings file; unknown fields are refused. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1).max(64),
  partner: z.string().min(1),
  region: z.string().min(1),
  hall: z.string().min(1),
  /** Where callers connect. */
  http: endpoint,
  /** Where other routers connect, by TCP and UDP on one port number. */
  peer: endpoint,
  platform: z.strictObject({
    url: z.url(),
    watchMs: milliseconds.default(10_000),
    retryMs: milliseconds.default(500),
    /** Routers per hall that watch the platform; the others hear from peers. */
    watchersPerHall: z.number().int().min(1).default(8),
  }),
  /** Shared by all routers; who does not know it may not speak to their peer port. */
  fleetSecret: z.string().min(16),
  limits: limitsSchema.prefault({}),
  routing: routingSchema.prefault({}),
  membership: membershipSchema.prefault({}),
  keys: keysSchema.prefault({}),
  locate: z.strictObject({
    /** Time for which a caller may keep an address. */
    lifetimeMs: milliseconds.default(5_000),
    addresses: z.number().int().min(1).default(3),
  }).prefault({}),
  drain: z.strictObject({
    /** Time after which a planned stop ends even with requests in flight. */
    limitMs: milliseconds.default(120_000),
  }).prefault({}),
  audit: z.strictObject({
    /** Records kept for queries. */
    capacity: z.number().int().min(1).default(2_000),
  }).prefault({}),
  metrics: z.strictObject({
    enabled: z.boolean().default(false),
    host: z.ipv4().default("127.0.0.1"),
    port: port.default(8125),
    prefix: z.string().default("beechkeel."),
  }).prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
});

/** The settings of one router, with every default filled in. */
export type Settings = z.infer<typeof settingsSchema>;
