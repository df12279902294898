import type { Host } from "../configuration_service/host_schema.ts";

/** Names the pool of upstreams whose loads are compared: those of one region that serve the same.
 * @param host An upstream. */
export function formatPoolName(host: Host): string {
  const serves = host.role === "service"
    ? host.service ?? ""
    : [...host.models].sort().join(",");
  return `${host.role}/${host.region}/${serves}`;
}
