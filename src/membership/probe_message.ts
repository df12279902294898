import { z } from "zod";
import { rumourSchema } from "./rumour.ts";

const header = {
  from: z.string().min(1).max(64),
  incarnation: z.number().int().nonnegative(),
  unavailable: z.boolean(),
  nonce: z.number().int(),
  /** Digest of the sender's configuration. */
  digest: z.number().int(),
  /** Highest configuration revision the sender has seen. */
  revision: z.number().int(),
  /** Version of the sender's list of hosts. */
  hosts: z.number().int().nonnegative(),
  rumours: z.array(rumourSchema).max(16),
  /** Requests in flight per owned upstream: hash of its id and the number; -1 where it cannot be reached. */
  loads: z.array(z.tuple([z.number().int(), z.number().int()])).max(128),
};

/** A datagram between two routers. */
export const probeMessageSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("ping"), ...header }),
  z.object({ type: z.literal("ack"), ...header }),
  z.object({ type: z.literal("relay"), ...header, target: z.string() }),
  z.object({ type: z.literal("relayed"), ...header, target: rumourSchema }),
]);

/** A datagram between two routers. */
export type ProbeMessage = z.infer<typeof probeMessageSchema>;
