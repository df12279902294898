import { z } from "zod";

/** The body of a chat completion request; fields that are not named go to the engine as they are. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() }))
    .min(1),
  stream: z.boolean().default(false),
  /** Names the chat, so that it finds its context warm when it returns. */
  chat_id: z.string().min(1).max(256).optional(),
});

/** The body of a chat completion request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;
