import type { IncomingMessage } from "node:http";
import { readClock } from "../clock/clock.ts";
import type { CheckResult } from "../crashes/connection_check.ts";
import type { Logger } from "../logging/logger.ts";
import type { Dial } from "../network/dial_tcp.ts";
import { openTunnel } from "../paths/open_tunnel.ts";
import { PathMonitor } from "../paths/path_monitor.ts";
import type { PathTarget } from "../paths/path_target.ts";
import { RelayDirectory } from "../paths/relay_directory.ts";
import { RelayServer } from "../paths/relay_server.ts";
import type { PathState } from "../paths/upstream_path.ts";
import { Random } from "../random/random.ts";
import {
  countServiceContacts,
  type ServiceContact,
} from "../upstreams/service_contact.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";

/** Dependencies of the {@link UpstreamPaths}. */
export interface UpstreamPathsOptions {
  logger: Logger;
  metrics: GatewayMetrics;
  /** Establishes connections of this host. */
  dial: Dial;
  /** Hall of this host. */
  hall: string;
  getChooser: () => UpstreamChooser;
  /** Returns undefined until the communication with other hosts has started. */
  getPeerNetwork: () => PeerNetwork | undefined;
  /** Whether this host takes new work. */
  isAccepting: () => boolean;
}

/** The paths of a gateway to the upstreams: its own, and those through other hosts, in both roles. */
export class UpstreamPaths {
  readonly monitor: PathMonitor;
  readonly server: RelayServer;

  private constructor(private readonly options: UpstreamPathsOptions) {
    const { logger, dial } = options;
    this.monitor = this.createMonitor();
    this.server = RelayServer.create({
      logger,
      dial,
      findTarget: (instanceHash) => this.findTarget(instanceHash),
      isAuthorized: (request) => this.isFromKnownHost(request),
      isAccepting: options.isAccepting,
      onDialFailure: (target) => void this.monitor.check(target),
    });
  }

  /** Creates the paths; all are assumed to be direct.
   * @param options Their dependencies. */
  static create(options: UpstreamPathsOptions): UpstreamPaths {
    return new UpstreamPaths(options);
  }

  /** Checks whether an instance of an upstream has crashed. One that is no longer listed is not checked.
   * @param instanceHash Hash of the instance. */
  async checkCrash(instanceHash: number): Promise<CheckResult> {
    const target = this.findTarget(instanceHash);
    return target ? await this.monitor.checkCrash(target) : "undecided";
  }

  /** Whether this host has lost its own paths to all upstreams of a service. */
  get isPartitioned(): boolean {
    return [...this.getServiceContacts()].some(({ direct }) => direct === 0);
  }

  /** Returns how many upstreams of each service this host hears and reaches. */
  getServiceContacts(): Iterable<ServiceContact> {
    const { upstreams } = this.options.getChooser();
    return countServiceContacts(upstreams.getAll(), readClock());
  }

  /** Ends all checks and closes the connections that are relayed for other hosts. */
  close(): void {
    this.monitor.close();
    this.server.close();
  }

  private createMonitor(): PathMonitor {
    const { logger, dial, hall, getChooser, getPeerNetwork } = this.options;
    const random = Random.create();
    return PathMonitor.create({
      logger,
      dial,
      openTunnel,
      relays: RelayDirectory.create({
        hall,
        getHosts: () => getPeerNetwork()?.getRelays() ?? [],
        random,
      }),
      random,
      getTargets: () => getChooser().upstreams.getAll(),
      isReportedOut: (target) =>
        getPeerNetwork()?.outages.isReportedOut(target) ?? false,
      onChange: (target, state) => this.handleChange(target, state),
      onDoubt: (target) => getPeerNetwork()?.outages.report(target),
      onRecheck: (target) => this.handleRecheck(target),
    });
  }

  /** Closes idle connections of the former way, clears what was held against an upstream while this host had lost its path
   * to it, and announces the phase that may
   * follow from the change. */
  private handleChange(target: PathTarget, state: PathState): void {
    const { metrics, getChooser, getPeerNetwork } = this.options;
    metrics.recordPathChange(state);
    getChooser().closeUntrustedConnections(target.instanceHash);
    if (state === "relayed") getChooser().clearFaults(target.instanceHash);
    if (state === "unreachable") getPeerNetwork()?.outages.report(target);
    getPeerNetwork()?.announce();
  }

  /** Reports an upstream that is still unreachable, since a host that reaches it can then relay to it. */
  private handleRecheck(target: PathTarget): void {
    const { getChooser, getPeerNetwork } = this.options;
    getChooser().closeUntrustedConnections(target.instanceHash);
    if (target.path.isUnreachable) getPeerNetwork()?.outages.report(target);
  }

  private findTarget(instanceHash: number): PathTarget | undefined {
    return this.options.getChooser().upstreams.findByInstanceHash(instanceHash);
  }

  private isFromKnownHost({ socket }: IncomingMessage): boolean {
    const network = this.options.getPeerNetwork();
    return network?.isKnownAddress(socket.remoteAddress ?? "") ?? false;
  }
}
