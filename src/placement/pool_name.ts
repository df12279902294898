import type { Host } from "../configuration_service/host_schema.ts";

/** Returns the name of an upstream's pool: the upstreams of one region that serve the same models or service, and whose
 * loads are compared.
 * @param host An upstream. */
export function formatPoolName(host: Host): string {
  const served = host.role === "service"
    ? host.service ?? ""
    : [...host.models].sort().join(",");
  return `${host.role}/${host.region}/${served}`;
}
