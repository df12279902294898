import type { FleetView } from "../membership/fleet_view.ts";
import { controlTraffic } from "../peer/web_socket_frame_port.ts";
import { readProcessUsage } from "./read_process_usage.ts";
import type { RouterStatus } from "./router_status.ts";
import { VERSION } from "./version.ts";

/** Inputs of a router's status, apart from what is read from the process. */
export interface RouterStatusInputs extends
  Pick<
    RouterStatus,
    | "id"
    | "phase"
    | "configuration"
    | "upstreams"
    | "openRequests"
    | "witness"
  > {
  view: FleetView;
  /** Probe traffic sent since the start. */
  probes: { bytes: number; messages: number };
}

/** Builds the status response of a router. */
export function buildRouterStatus(inputs: RouterStatusInputs): RouterStatus {
  const { view, probes, ...rest } = inputs;
  return {
    ...rest,
    version: VERSION,
    hostListVersion: view.version,
    routers: view.routers.map(({ host, heard, unavailable }) => ({
      id: host.id,
      heard,
      unavailable,
    })),
    control: {
      probeBytes: probes.bytes,
      probeMessages: probes.messages,
      ...controlTraffic,
    },
    process: readProcessUsage(),
  };
}
