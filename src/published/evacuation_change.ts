import { z } from "zod";

/** Schema of an operator's request that the upstreams of a hall get no new requests, or of its withdrawal. */
export const evacuationChangeSchema = z.object({
  hall: z.string(),
  /** Position of the change. */
  revision: z.number(),
  /** Whether the hall is to be evacuated; false if the request was withdrawn. */
  isActive: z.boolean(),
});

/** An operator's request to evacuate a hall, or its withdrawal. */
export type EvacuationChange = z.infer<typeof evacuationChangeSchema>;
