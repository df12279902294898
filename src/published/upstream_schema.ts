import { z } from "zod";

/** Schema of the entry that an upstream publishes about itself. */
export const upstreamSchema = z.object({
  /** Id that the upstream keeps across restarts. */
  id: z.string(),
  service: z.string(),
  /** IP address and port, as `ip:port`. */
  address: z.string(),
  hall: z.string(),
  /** Number of requests that it processes concurrently. */
  slots: z.number().int().positive(),
  /** Orders upstreams by arrival: the one with the smaller number was published first. */
  arrival: z.number(),
  /** Whether it has announced that it is leaving. */
  isLeaving: z.boolean(),
  /** Remaining time of its warm-up when it published the entry, in milliseconds; undefined or 0 if it is warm. */
  warmUpMs: z.number().nonnegative().optional(),
  /** Start time in Unix milliseconds, which distinguishes instances with the same id; undefined if not published. */
  startedAt: z.number().int().optional(),
  /** Version of its software; undefined if not published. Streams of different versions do not fit together. */
  softwareVersion: z.string().optional(),
});

/** A published upstream. */
export type PublishedUpstream = z.infer<typeof upstreamSchema>;
