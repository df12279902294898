import type { Logger } from "../logging/logger.ts";
import type { Dial } from "../network/dial_tcp.ts";
import { openTunnel } from "../paths/open_tunnel.ts";
import { PathMonitor } from "../paths/path_monitor.ts";
import type { PathTarget } from "../paths/path_target.ts";
import { RelayDirectory } from "../paths/relay_directory.ts";
import type { RelayHost } from "../paths/relay_host.ts";
import { RelayServer } from "../paths/relay_server.ts";
import type { PathState } from "../paths/upstream_path.ts";
import { Random } from "../random/random.ts";

/** Dependencies of the {@link UpstreamPaths}. */
export interface UpstreamPathsOptions {
  logger: Logger;
  /** Establishes connections of this host. */
  dial: Dial;
  /** Hall of this host. */
  hall: string;
  /** Returns the other hosts that may relay connections. */
  getRelays: () => readonly RelayHost[];
  /** Returns the listed upstreams. */
  getTargets: () => Iterable<PathTarget>;
  /** Returns the listed upstream with an instance hash. */
  findTarget: (instanceHash: number) => PathTarget | undefined;
  /** Whether an IP address belongs to another host of the fleet. */
  isKnownAddress: (ip: string) => boolean;
  /** Whether this host takes new work. */
  isAccepting: () => boolean;
  /** Called when the state of a path has changed. */
  onChange: (target: PathTarget, state: PathState) => void;
  /** Called when neither this host nor the first other one could connect at once. */
  onDoubt: (target: PathTarget) => void;
  /** Called each time a lost path is checked. */
  onRecheck: (target: PathTarget) => void;
}

/** The paths of a gateway to the upstreams: its own, and those through other hosts, in both roles. */
export class UpstreamPaths {
  readonly monitor: PathMonitor;
  readonly server: RelayServer;

  private constructor(options: UpstreamPathsOptions) {
    const { logger, dial, hall, getRelays, onChange, onDoubt, onRecheck } =
      options;
    const random = Random.create();
    const relays = RelayDirectory.create({ hall, getHosts: getRelays, random });
    this.monitor = PathMonitor.create({
      logger,
      dial,
      openTunnel,
      relays,
      random,
      getTargets: options.getTargets,
      onChange,
      onDoubt,
      onRecheck,
    });
    this.server = RelayServer.create({
      logger,
      dial,
      findTarget: options.findTarget,
      isAuthorized: ({ socket }) =>
        options.isKnownAddress(socket.remoteAddress ?? ""),
      isAccepting: options.isAccepting,
      onDialFailure: (target) => void this.monitor.check(target),
    });
  }

  /** Creates the paths; all are assumed to be direct.
   * @param options Their dependencies. */
  static create(options: UpstreamPathsOptions): UpstreamPaths {
    return new UpstreamPaths(options);
  }

  /** Ends all checks and closes the connections that are relayed for other hosts. */
  close(): void {
    this.monitor.close();
    this.server.close();
  }
}
