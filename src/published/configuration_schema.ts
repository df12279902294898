import { z } from "zod";

/** How often a request of a route may run: any number of times, at most once, or as a stream of events. */
export const ROUTE_KINDS = ["repeatable", "once", "stream"] as const;

/** One service that a route sends to, with its part of the requests. */
const serviceShareSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** One route: which requests it takes and how they are run. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: z.enum(ROUTE_KINDS),
  /** Longest time the operator lets a request take, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Time within which an answer has its full value, in milliseconds; for streams, to the first event. */
  objectiveMs: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int(),
  shares: z.array(serviceShareSchema).min(1),
  /** Most upstreams that one request may be sent to. */
  maxAttempts: z.number().int().min(1),
  /** Whether requests need no key. */
  isAnonymous: z.boolean(),
  /** Whether requests name the parts of their prompt. */
  /** Whether a stream may go on at another upstream after its last event. */
  isResumable: z.boolean(),
  /** Longest pause between two events that is in time, in milliseconds. */
  gapObjectiveMs: z.number().optional(),
});

/** One route. */
export type Route = z.infer<typeof routeSchema>;

/** What is published of one service. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Connections an upstream of the service takes from all callers together. */
  maxConnections: z.number().int().positive(),
  /** Whether the upstreams are model engines. */
  /** Whether an engine can take from another what that keeps of a prompt. */
  canFetch: z.boolean(),
});

/** One service. */
export type Service = z.infer<typeof serviceSchema>;

/** A customer with the keys that its callers show. */
const customerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** 0 is the most urgent. */
  priority: z.number().int(),
});

/** What callers may send, and how long they may take. */
const callerLimitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** Limits for callers. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** The whole published configuration; the highest version is in force. */
export const configurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Undefined where no request needs a key. */
  customers: z.array(customerSchema).optional(),
});

/** One version of the published configuration. */
export type PublishedConfiguration = z.infer<typeof configurationSchema>;
