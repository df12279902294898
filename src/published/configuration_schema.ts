import { z } from "zod";

/** Kinds of routes: requests that may run any number of times, requests that run at most once, and event streams. */
export const ROUTE_KINDS = ["repeatable", "once", "stream"] as const;

/** A service that a route forwards to, with its weight among the services of the route. */
const serviceShareSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** Schema of a route: which requests it matches and how they are forwarded. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Starts and ends with a slash. */
  pathPrefix: z.string(),
  kind: z.enum(ROUTE_KINDS),
  /** Maximum duration of a request that the operator allows, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Latency objective in milliseconds: the time within which a response has its full value. For streams, it applies to
   * the first event. */
  objectiveMs: z.number().positive(),
  /** 0 is the highest priority. */
  priority: z.number().int(),
  shares: z.array(serviceShareSchema).min(1),
  /** Maximum number of upstreams that one request may be sent to. */
  maxAttempts: z.number().int().min(1),
  /** Whether requests need no API key. */
  isAnonymous: z.boolean(),
  /** Whether an interrupted stream may be resumed on another upstream after its last event. */
  isResumable: z.boolean(),
  /** Latency objective for the gap between two events of a stream, in milliseconds. */
  gapObjectiveMs: z.number().optional(),
});

/** A route of the published configuration. */
export type Route = z.infer<typeof routeSchema>;

/** Schema of a published service. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Maximum number of connections that an upstream of the service accepts from all callers together. */
  maxConnections: z.number().int().positive(),
  /** Requests per second that an upstream of the service bears while it warms up; undefined if there is no limit. */
  warmUpRequestsPerSecond: z.number().positive().optional(),
  /** Whether an engine of the service can fetch cached parts of a prompt from another engine. */
  canFetch: z.boolean(),
  /** Path of the liveness check of its upstreams. */
  healthPath: z.string().optional(),
});

/** A service of the published configuration. */
export type Service = z.infer<typeof serviceSchema>;

/** A customer with the API keys of its callers. */
const customerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** 0 is the highest priority. */
  priority: z.number().int(),
});

/** Size limits and timeouts of callers' requests. */
const callerLimitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** Size limits and timeouts of callers' requests. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** Schema of the published configuration; the highest version is in force. */
export const configurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Undefined if no request needs an API key. */
  customers: z.array(customerSchema).optional(),
});

/** One version of the published configuration. */
export type PublishedConfiguration = z.infer<typeof configurationSchema>;
