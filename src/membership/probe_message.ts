import { z } from "zod";
import { rumourSchema } from "./rumour.ts";

const header = {
  from: z.string().min(1).max(64),
  incarnation: z.number().int().nonnegative(),
  unavailable: z.boolean(),
  nonce: z.number().int(),
  /** Digest of the sender's configuration. */
  digest: z.number().int(),
  /** Highest configuration revision that the sender has seen. */
  revision: z.number().int(),
  /** Version of the sender's host list. */
  hosts: z.number().int().nonnegative(),
  rumours: z.array(rumourSchema).max(16),
  /** For each upstream that the sender owns, the hash of its id and its number of requests in flight, -1 if it is
   * unreachable. */
  loads: z.array(z.tuple([z.number().int(), z.number().int()])).max(128),
};

/** Schema of a datagram between two routers. A `ping` is acknowledged by an `ack`. A `relay` asks the receiver to probe
 * the target on the sender's behalf; if the target acknowledges, the response is a `relayed` with its state. */
export const probeMessageSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("ping"), ...header }),
  z.object({ type: z.literal("ack"), ...header }),
  z.object({ type: z.literal("relay"), ...header, target: z.string() }),
  z.object({ type: z.literal("relayed"), ...header, target: rumourSchema }),
]);

/** A datagram between two routers. */
export type ProbeMessage = z.infer<typeof probeMessageSchema>;
