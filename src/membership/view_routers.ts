import type { Logger } from "../logging/logger.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { FleetView, RouterView } from "./fleet_view.ts";
import type { MemberTable } from "./member_table.ts";

/** Combines the host list with the known status of each router on it.
 * @param hostList The host list.
 * @param table Status of the other routers. */
export function buildRouterViews(
  hostList: HostList,
  table: MemberTable,
): RouterView[] {
  const ownRumour = table.getOwnRumour();
  return hostList.hosts.filter((host) => host.role === "router").map((host) => {
    const rumour = host.id === ownRumour.id
      ? ownRumour
      : table.getMember(host.id);
    return {
      host,
      heard: rumour?.status === "alive",
      lost: rumour?.status === "dead",
      unavailable: host.state === "leaving" || (rumour?.unavailable ?? false),
    };
  });
}

/** Logs each router that is new or whose state changed.
 * @param previousView View before the change.
 * @param routers Routers after the change.
 * @param logger Receives one line per router. */
export function logRouterChanges(
  previousView: FleetView,
  routers: readonly RouterView[],
  logger: Logger,
): void {
  for (const { host, heard, unavailable } of routers) {
    const prior = previousView.getRouter(host.id);
    if (prior?.heard === heard && prior.unavailable === unavailable) continue;
    logger.info({ peer: host.id, heard, unavailable }, "router_state_changed");
  }
}
