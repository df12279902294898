import { z } from "zod";

/** What one router believes of another, as it is passed on. */
export const rumourSchema = z.object({
  id: z.string().min(1).max(64),
  /** Grows with each start of the router, and with each refutation of a suspicion. */
  incarnation: z.number().int().nonnegative(),
  status: z.enum(["alive", "suspect", "dead"]),
  /** Whether callers and work should go elsewhere: the router is starting or stopping. */
  unavailable: z.boolean(),
});

/** What one router believes of another. */
export type Rumour = z.infer<typeof rumourSchema>;
