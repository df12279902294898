import { z } from "zod";

/** The schema of the body of a chat completion request; other fields are passed to the engine unchanged. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() }))
    .min(1),
  stream: z.boolean().default(false),
  /** Maximum length of the response in tokens; a value that engines would refuse is left to them. */
  max_tokens: z.number().positive().optional().catch(undefined),
  /** Identifies the chat, so that its later requests are routed to the engine that has its context cached. */
  chat_id: z.string().min(1).max(256).optional(),
});

/** The body of a chat completion request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;
