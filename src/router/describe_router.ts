import type { FleetView } from "../membership/fleet_view.ts";
import { controlTraffic } from "../peer/web_socket_frame_port.ts";
import { readProcess } from "./read_process.ts";
import type { RouterStatus } from "./router_status.ts";
import { VERSION } from "./version.ts";

/** What a router's status is made of beside what the process itself knows. */
export interface RouterParts extends
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
  /** Probes sent since the start. */
  probes: { bytes: number; messages: number };
}

/** Describes a router for operators.
 * @param parts What it is made of. */
export function describeRouter(parts: RouterParts): RouterStatus {
  const { view, probes, ...rest } = parts;
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
    process: readProcess(),
  };
}
