import { z } from "zod";

/** One event of an engine's stream: a chat completion chunk that names its request. */
export const engineEventSchema = z.object({
  /** Id of the request that the event belongs to. */
  id: z.string(),
  /** Index of the event in the response, from 0. */
  index: z.number().int().nonnegative(),
  choices: z.array(
    z.object({ delta: z.object({ content: z.string().optional() }) }),
  ).optional(),
  usage: z.object({
    prompt_tokens: z.number(),
    cached_tokens: z.number(),
    completion_tokens: z.number(),
  }).optional(),
});

/** One event of an engine's stream. */
export type EngineEvent = z.infer<typeof engineEventSchema>;

/** Line that marks the end of a complete stream. */
export const DONE_LINE = "data: [DONE]";
