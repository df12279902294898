import { z } from "zod";

/** What an upstream publishes of itself; each start of an upstream is a new one with an id of its own. */
export const upstreamSchema = z.object({
  id: z.string(),
  service: z.string(),
  /** IP number and port, as `ip:port`. */
  address: z.string(),
  hall: z.string(),
  /** Requests it works on at once. */
  slots: z.number().int().positive(),
  /** Grows with each upstream that comes; of two, the one with the smaller number came first. */
  arrival: z.number(),
  /** Whether it has said that it will leave. */
  isLeaving: z.boolean(),
});

/** One published upstream. */
export type PublishedUpstream = z.infer<typeof upstreamSchema>;
