import { processTimeline } from "../clock/timeline.ts";
import type { DatagramPort } from "../peers/datagram_socket.ts";
import type { HostRing } from "../peers/host_ring.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import { StreamDirectory } from "../streams/stream_directory.ts";
import type {
  ObservedVersions,
  VersionHistory,
} from "../upstreams/version_history.ts";

/** The parts of a gateway that its stream directory depends on. */
export interface StreamDirectoryParts {
  socket: DatagramPort;
  /** Ring of all live hosts. */
  ring: HostRing;
  replica: PublicationReplica;
  versions: VersionHistory;
  /** Whether the known hosts are likely all hosts of the fleet. */
  knowsFleet: () => boolean;
  /** Returns the part of the known hosts that has not been lost within a time in milliseconds. */
  getRetainedFraction: (withinMs: number) => number;
}

/** Creates the stream directory of a gateway.
 * @param parts The parts that it depends on. */
export function createStreamDirectory(
  parts: StreamDirectoryParts,
): StreamDirectory {
  const { socket, ring, knowsFleet } = parts;
  return StreamDirectory.create({
    socket,
    ring,
    getVersions: (service, withinMs) => getVersions(parts, service, withinMs),
    knowsFleet,
    timeline: processTimeline,
  });
}

/** Returns the software versions of a service that may have served within a time. They count as observed only if no
 * other host can know more: the publication is recent, or old although this host has contact to the whole fleet. */
function getVersions(
  { replica, versions, knowsFleet, getRetainedFraction }: StreamDirectoryParts,
  service: string,
  withinMs: number,
): ObservedVersions {
  const observed = versions.getVersions(service, withinMs);
  const hasWholeFleet = knowsFleet() && getRetainedFraction(withinMs) === 1;
  return replica.isRecent || hasWholeFleet
    ? observed
    : { ...observed, observedMs: 0 };
}
