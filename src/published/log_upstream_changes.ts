import type { Logger } from "../logging/logger.ts";
import { getEra, getRevision } from "./position.ts";
import type { UpstreamChange } from "./publication_feed.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** Logs changes of the published upstreams.
 * @param logger Receives the log lines.
 * @param changes The changes.
 * @param source Where they were learned. */
export function logUpstreamChanges(
  logger: Logger,
  changes: readonly UpstreamChange[],
  source: string,
): void {
  for (const { id, revision, upstream } of changes) {
    logger.info({
      upstream: id,
      state: getState(upstream),
      service: upstream?.service ?? "",
      address: upstream?.address ?? "",
      softwareVersion: upstream?.softwareVersion,
      era: getEra(revision),
      revision: getRevision(revision),
      source,
    }, "upstream_published");
  }
}

function getState(
  upstream: PublishedUpstream | undefined,
): "gone" | "leaving" | "live" {
  if (!upstream) return "gone";
  return upstream.isLeaving ? "leaving" : "live";
}
