import type { RouterPhase } from "../entry/entry_context.ts";
import type { UpstreamStatus } from "../owner/upstream_status.ts";

/** The status response of a router. */
export interface RouterStatus {
  id: string;
  version: string;
  phase: RouterPhase;
  configuration: { digest: number; revision: number; customers: number };
  hostListVersion: number;
  routers: { id: string; heard: boolean; unavailable: boolean }[];
  /** The upstreams that this router owns or still has requests on. */
  upstreams: UpstreamStatus[];
  openRequests: number;
  /** Number of idempotency keys stored for the fleet, and whether the records of all other routers were received since
   * the start. */
  witness: { keys: number; synchronized: boolean };
  /** Control traffic sent to other routers since the start: probes, and frames other than those that carry requests
   * and responses. */
  control: {
    probeBytes: number;
    probeMessages: number;
    bytes: number;
    frames: number;
  };
  process: {
    memoryBytes: number;
    cpuMicroseconds: number;
    uptimeSeconds: number;
  };
}
