import type { Host } from "../configuration_service/host_schema.ts";
import { hashText } from "../hashing/hasher.ts";
import type { CheckedUpstream } from "./crash_detector.ts";

/** An upstream of the host list as the detector of crashes sees it.
 * @param host The upstream. */
export function toCheckedUpstream(host: Host): CheckedUpstream {
  return {
    id: host.id,
    shortName: hashText(host.id),
    address: `${host.address}:${host.port}`,
    isEndExpected: host.state === "leaving",
  };
}
