import { z } from "zod";

/** Schema of a rumour. */
export const rumourSchema = z.object({
  id: z.string().min(1).max(64),
  /** Increases with each start of the router, each change of its availability and each rumour that it refutes. */
  incarnation: z.number().int().nonnegative(),
  status: z.enum(["alive", "suspect", "dead"]),
  /** Whether callers and work should go to other routers, because this one is starting or stopping. */
  unavailable: z.boolean(),
});

/** A claim about the state of one router, disseminated by gossip. */
export type Rumour = z.infer<typeof rumourSchema>;
