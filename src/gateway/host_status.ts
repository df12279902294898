import type { PeerEntry } from "../peers/gossip_schema.ts";
import { takesRequests } from "../peers/host_phase.ts";
import type { KnownHost } from "../peers/known_host.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GracefulStop } from "./graceful_stop.ts";

/** Fraction of the key revocation limit after which keys are no longer accepted; the rest covers the time that a
 * request takes to reach its upstream. */
const KEY_AGE_LIMIT_FRACTION = 0.8;

/** Time that a stopped host takes to serve requests again, in milliseconds. */
const RESTART_MS = 1_000;

/** What the status of a host depends on. */
export interface HostStatusOptions {
  stop: GracefulStop;
  replica: PublicationReplica;
  getSettings: () => GatewaySettings;
  /** Whether this host has lost its own paths to the upstreams. */
  isPartitioned: () => boolean;
  /** Returns the other live hosts. */
  getLiveHosts: () => readonly KnownHost[];
}

/** Whether this host takes requests, and why not. */
export class HostStatus {
  private constructor(private readonly options: HostStatusOptions) {}

  /** Creates a status.
   * @param options What it depends on. */
  static create(options: HostStatusOptions): HostStatus {
    return new HostStatus(options);
  }

  /** Whether the known keys are recent enough to be accepted. */
  get mayAcceptKeys(): boolean {
    const { getSettings, replica } = this.options;
    const { keyRevocationLimitMs } = getSettings();
    if (keyRevocationLimitMs === undefined) return true;
    return replica.ageMs < keyRevocationLimitMs * KEY_AGE_LIMIT_FRACTION;
  }

  /** Whether this host has a configuration and is not stopping. */
  get isReady(): boolean {
    const { replica, stop } = this.options;
    return replica.routes !== undefined && !stop.hasStarted;
  }

  /** Whether callers should send requests to this host: it is ready and its knowledge of keys is recent enough. */
  get isServing(): boolean {
    return this.isReady && this.mayAcceptKeys;
  }

  /** Lifecycle phase of this host. */
  get phase(): PeerEntry["phase"] {
    if (this.options.stop.hasStarted) return "draining";
    if (!this.isServing) return "starting";
    return this.options.isPartitioned() ? "partitioned" : "ready";
  }

  /** Whether another host takes requests. */
  get hasOtherHost(): boolean {
    return this.options.getLiveHosts().some(({ entry }) =>
      takesRequests(entry.phase)
    );
  }

  /** Time after which callers that this stopping host refuses may retry, in milliseconds: at once if another host takes
   * requests, otherwise when one may be back. One that stopped before this host is back before it. */
  get stopRetryMs(): number {
    return this.hasOtherHost ? 0 : RESTART_MS;
  }
}
