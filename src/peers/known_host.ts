import type { PeerEntry } from "./gossip_schema.ts";
import type { HostStatus } from "./host_rumour.ts";

/** The latest known state of another host. */
export interface KnownHost {
  entry: PeerEntry;
  /** Short name of its gossip address. */
  name: number;
  /** Monotonic milliseconds at which the host told this, as far as is known. */
  heardAt: number;
  /** The host's clock when it last wrote to this one, in its own monotonic milliseconds. */
  lastSentAt: number | undefined;
  status: HostStatus;
  /** Monotonic milliseconds at which the status was first believed anywhere. */
  statusSince: number;
}

/** A known host as one host tells it to another that lacks it. */
export interface HostState {
  entry: PeerEntry;
  status: HostStatus;
  /** Milliseconds since it was last seen. */
  agoMs: number;
}
