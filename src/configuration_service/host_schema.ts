import { z } from "zod";

/** Schema of a host in the platform's host list: a router, a model engine or a host of another service. */
export const hostSchema = z.object({
  id: z.string().min(1),
  role: z.enum(["router", "engine", "service"]),
  state: z.enum(["live", "leaving"]),
  partner: z.string(),
  region: z.string(),
  hall: z.string(),
  /** IP address. */
  address: z.string(),
  /** Port for requests; for a router, the port for callers. */
  port: z.number().int(),
  /** Routers only: port for other routers. */
  peerPort: z.number().int().optional(),
  /** Engines only: models served, each as `model` or `model+adapter`. */
  models: z.array(z.string()).default([]),
  /** Services only: name of the service that the host belongs to. */
  service: z.string().optional(),
  /** Engines only: software version; streams continue only at engines of the version that began them. Undefined if not
   * published; such engines count as of one version. */
  softwareVersion: z.string().optional(),
  /** Maximum number of concurrent requests of the upstream. */
  slots: z.number().int().min(1).default(64),
  /** Whether the upstream rejects orders with an outdated fencing token. */
  checksFence: z.boolean().default(false),
});

/** A host in the published host list. */
export type Host = z.infer<typeof hostSchema>;

/** Schema of the published host list; a higher version is newer. */
export const hostListSchema = z.object({
  version: z.number().int(),
  hosts: z.array(hostSchema),
});

/** A version of the published host list. */
export type HostList = z.infer<typeof hostListSchema>;
