import { z } from "zod";

/** One host as the platform lists it: a router, a model engine or a plain service. */
export const hostSchema = z.object({
  id: z.string().min(1),
  role: z.enum(["router", "engine", "service"]),
  state: z.enum(["live", "leaving"]),
  partner: z.string(),
  region: z.string(),
  hall: z.string(),
  /** IP number. */
  address: z.string(),
  /** Port for requests; on a router the port for callers. */
  port: z.number().int(),
  /** Router only: port for other routers. */
  peerPort: z.number().int().optional(),
  /** Engine only: models it serves, each as `model` or `model+adapter`. */
  models: z.array(z.string()).default([]),
  /** Service only: name of the service it belongs to. */
  service: z.string().optional(),
  /** Requests the upstream takes at once. */
  slots: z.number().int().min(1).default(64),
  /** Whether the upstream refuses orders with an older fence. */
  checksFence: z.boolean().default(false),
});

/** One host of the published list. */
export type Host = z.infer<typeof hostSchema>;

/** The published list of hosts; a higher version is newer. */
export const hostListSchema = z.object({
  version: z.number().int(),
  hosts: z.array(hostSchema),
});

/** A version of the published host list. */
export type HostList = z.infer<typeof hostListSchema>;
