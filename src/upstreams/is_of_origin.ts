import type { StreamOrigin } from "../streams/stream_record.ts";
import type { Upstream } from "./upstream.ts";

/** Whether an upstream can continue a stream.
 * @param upstream The upstream.
 * @param origin Where the stream began; undefined if there is none that is to be continued. */
export function isOfOrigin(
  { published }: Upstream,
  origin: StreamOrigin | undefined,
): boolean {
  if (origin === undefined) return true;
  const { service, softwareVersion } = origin;
  return softwareVersion !== undefined && published.service === service &&
    published.softwareVersion === softwareVersion;
}
