import { z } from "zod";

const port = z.number().int().min(0).max(65535);
const milliseconds = z.number().int().min(1).max(3_600_000);
const endpoint = z.strictObject({ host: z.ipv4().default("127.0.0.1"), port });

const limitsSchema = z.strictObject({
  maxBodyBytes: z.number().int().min(1).default(4 * 1024 * 1024),
  maxHeaderBytes: z.number().int().min(1024).default(16 * 1024),
  /** Time limit for receiving the headers of a request. */
  headerTimeoutMs: milliseconds.default(5_000),
  /** Time limit for receiving a complete request. */
  requestTimeoutMs: milliseconds.default(15_000),
  maxOpenRequests: z.number().int().min(1).default(5_000),
  /** Bytes that may be in flight to one caller before the upstream's response is paused (flow control). */
  streamWindowBytes: z.number().int().min(16 * 1024).default(256 * 1024),
});

const routingSchema = z.strictObject({
  /** Load-balancing policy; all but `bounded` are baselines for benchmarks. */
  policy: z.enum([
    "bounded",
    "rendezvous",
    "random",
    "least_loaded",
    "power_of_two",
  ]).default("bounded"),
  /** Upper bound of an engine's load, as a multiple of the mean load of its pool. */
  boundMultiple: z.number().min(1.25).max(10).default(2),
  /** Lower limit of the load bound, in requests, however low the mean is. */
  minimumCap: z.number().int().min(1).default(4),
  /** Maximum number of queued requests per upstream. */
  queueLimit: z.number().int().min(0).default(256),
  /** Number of upstreams that are tried before a request is queued. */
  candidateLimit: z.number().int().min(1).default(8),
  /** Time limit for the owner of an upstream to acknowledge a request. */
  acceptTimeoutMs: milliseconds.default(700),
  /** Deadline of a request that specifies none, as a duration. */
  defaultDeadlineMs: milliseconds.default(60_000),
  /** Time without data from an upstream, before or within a response, after which the request counts as failed. */
  stallTimeoutMs: milliseconds.default(4_000),
  /** Interval at which the owner of an upstream polls its load report. */
  reportIntervalMs: milliseconds.default(500),
  /** Retry budget: retries earned by each first attempt. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  /** Retry budget: number of retries that can be saved up; also the initial budget, available before any first
   * attempt. */
  retryReserve: z.number().int().min(0).default(50),
});

const membershipSchema = z.strictObject({
  probeIntervalMs: milliseconds.default(500),
  probeTimeoutMs: milliseconds.default(250),
  /** Number of peers probed per interval. */
  probeFanout: z.number().int().min(1).default(3),
  /** Time for which a suspected peer may stay silent before it is declared dead. */
  suspicionMs: milliseconds.default(1_500),
  /** Gap in this process's event loop from which all state received from peers counts as stale. */
  pauseThresholdMs: milliseconds.default(1_000),
});

const keysSchema = z.strictObject({
  /** Retention period of an idempotency key. */
  rememberMs: milliseconds.default(600_000),
  /** Time after which a new witness is assumed to know of every attempt with a key. */
  settleMs: milliseconds.default(15_000),
  /** Time limit for a witness to respond to a vote. */
  voteTimeoutMs: milliseconds.default(600),
  /** Tolerated clock skew when the creation time is read from a key (UUID version 7). */
  clockSkewMs: milliseconds.default(2_000),
});

/** Schema of a router's settings file; unknown fields are rejected. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1).max(64),
  partner: z.string().min(1),
  region: z.string().min(1),
  hall: z.string().min(1),
  /** Endpoint for callers. */
  http: endpoint,
  /** Endpoint for other routers, TCP and UDP on the same port number. */
  peer: endpoint,
  platform: z.strictObject({
    url: z.url(),
    watchMs: milliseconds.default(10_000),
    retryMs: milliseconds.default(500),
    /** Number of routers per hall that watch the platform; the others receive updates from their peers. */
    watchersPerHall: z.number().int().min(1).default(8),
  }),
  /** Secret shared by all routers; hosts without it cannot communicate with the peer port. */
  fleetSecret: z.string().min(16),
  limits: limitsSchema.prefault({}),
  routing: routingSchema.prefault({}),
  membership: membershipSchema.prefault({}),
  keys: keysSchema.prefault({}),
  locate: z.strictObject({
    /** Maximum time for which a caller may cache the returned addresses. */
    lifetimeMs: milliseconds.default(5_000),
    addresses: z.number().int().min(1).default(3),
  }).prefault({}),
  drain: z.strictObject({
    /** Time limit of a graceful stop; the router then exits even with requests in flight. */
    limitMs: milliseconds.default(120_000),
  }).prefault({}),
  audit: z.strictObject({
    /** Number of most recent records kept for queries. */
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

/** Settings of one router, with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>;
