import type { PeerEntry } from "./gossip_schema.ts";
import type { HostStatus } from "./host_rumour.ts";

/** Latest known state of another host. */
export interface KnownHost {
  entry: PeerEntry;
  /** Hash of its gossip address, which identifies it in rumours and load reports. */
  name: number;
  /** Monotonic milliseconds of the last known contact with the host, direct or through another host. */
  lastSeenAt: number;
  /** Monotonic milliseconds of the host's own clock when it sent its last message to this one. */
  lastRemoteSentAt: number | undefined;
  status: HostStatus;
  /** Monotonic milliseconds at which the status was first set on any host. */
  statusSince: number;
}

/** State of a host as sent to another host that pulls the host table. */
export interface HostState {
  entry: PeerEntry;
  status: HostStatus;
  /** Milliseconds since it was last seen. */
  agoMs: number;
}
