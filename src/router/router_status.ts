import type { RouterPhase } from "../entry/entry_context.ts";
import type { UpstreamStatus } from "../owner/upstream_status.ts";

/** Everything operators see of a router. */
export interface RouterStatus {
  id: string;
  version: string;
  phase: RouterPhase;
  configuration: { digest: number; revision: number; customers: number };
  hostListVersion: number;
  routers: { id: string; heard: boolean; unavailable: boolean }[];
  /** The upstreams this router owns or still has work on. */
  upstreams: UpstreamStatus[];
  openRequests: number;
  /** Keys remembered for the fleet, and whether the records of all other routers were read since the start. */
  witness: { keys: number; synchronized: boolean };
  /** What was sent to other routers since the start, apart from requests and answers. */
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
