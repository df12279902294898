import type { Host } from "../../src/configuration_service/host_schema.ts";
import { FleetView, type RouterView } from "../../src/membership/fleet_view.ts";
import {
  type Settings,
  settingsSchema,
} from "../../src/settings/settings_schema.ts";
import { MINIMAL_SETTINGS } from "../settings/minimal_settings.ts";

/** Id of the router under test. */
export const OWN_ID = "r-0";
/** Ids of other routers, one of which owns the upstream `s-0` while they are in the fleet. */
export const OTHER_ROUTERS: readonly string[] = Array.from(
  { length: 20 },
  (_, index) => `r-${index + 1}`,
);

/** Builds the host of a service that is listed as live.
 * @param port Port that the service listens on. */
export function buildService(port: number): Host {
  return {
    id: "s-0",
    role: "service",
    service: "bookings",
    partner: "kilima",
    region: "dar",
    hall: "temeke",
    address: "127.0.0.1",
    port,
    state: "live",
    models: [],
    slots: 8,
    checksFence: false,
  };
}

/** Builds the fleet view of the router under test, to which all other routers are reachable.
 * @param version Version of the host list.
 * @param upstream The only upstream.
 * @param others Ids of the other routers. */
export function buildView(
  version: number,
  upstream: Host,
  others: readonly string[],
): FleetView {
  const routers = [OWN_ID, ...others].map((id): RouterView => ({
    host: { ...upstream, id, role: "router", service: undefined },
    heard: true,
    dead: false,
    unavailable: false,
  }));
  return FleetView.create(OWN_ID, version, routers, [upstream]);
}

/** Builds the settings of the router under test, with defaults. */
export function buildSettings(): Settings {
  return settingsSchema.parse({ ...MINIMAL_SETTINGS, id: OWN_ID });
}
