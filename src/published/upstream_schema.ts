import { z } from "zod";

/** What an upstream publishes of itself. */
export const upstreamSchema = z.object({
  /** Id under which it may start again. */
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
  /** Unix milliseconds of its start, which tells two starts under one id apart; undefined where none are told. */
  startedAt: z.number().int().optional(),
});

/** One published upstream. */
export type PublishedUpstream = z.infer<typeof upstreamSchema>;
