import type { Logger } from "../logging/logger.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { FleetView, RouterView } from "./fleet_view.ts";
import type { MemberTable } from "./member_table.ts";

/** Joins the published list with what is believed of each router on it.
 * @param list The published list.
 * @param table What is believed. */
export function viewRouters(list: HostList, table: MemberTable): RouterView[] {
  const self = table.getSelf();
  return list.hosts.filter((host) => host.role === "router").map((host) => {
    const belief = host.id === self.id ? self : table.getMember(host.id);
    return {
      host,
      heard: belief?.status === "alive",
      lost: belief?.status === "dead",
      unavailable: host.state === "leaving" || (belief?.unavailable ?? false),
    };
  });
}

/** Logs each router that is seen otherwise than before.
 * @param before The view until now.
 * @param routers The routers as they are seen now.
 * @param logger Where to write. */
export function logChanges(
  before: FleetView,
  routers: readonly RouterView[],
  logger: Logger,
): void {
  for (const { host, heard, unavailable } of routers) {
    const known = before.getRouter(host.id);
    if (known?.heard === heard && known.unavailable === unavailable) continue;
    logger.info({ peer: host.id, heard, unavailable }, "router_seen");
  }
}
