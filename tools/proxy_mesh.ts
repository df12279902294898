import { FaultProxy, type ProxyMode } from "../fakes/fault_proxy.ts";
import { NetworkPartition } from "../fakes/network_partition.ts";
import type { Host } from "../src/configuration_service/host_schema.ts";

/** Proxies between each router and every other host, so that the network between any two can be partitioned. */
export class ProxyMesh {
  private readonly proxies = new Map<string, FaultProxy>();

  private constructor() {}

  /** Creates a mesh without proxies. */
  static create(): ProxyMesh {
    return new ProxyMesh();
  }

  /** Creates the proxies that do not exist yet.
   * @param routerIds Ids of the routers.
   * @param hosts All hosts. */
  async addMissingProxies(
    routerIds: readonly string[],
    hosts: readonly Host[],
  ): Promise<void> {
    for (const routerId of routerIds) {
      for (const host of hosts) {
        const key = `${routerId}>${host.id}`;
        if (host.id === routerId || this.proxies.has(key)) continue;
        this.proxies.set(
          key,
          await FaultProxy.create(host.peerPort ?? host.port),
        );
      }
    }
  }

  /** Returns the host list for one router, with the ports of other hosts replaced by those of their proxies.
   * @param routerId Id of the router that reads the list.
   * @param hosts All hosts. */
  replaceWithProxyPorts(routerId: string, hosts: readonly Host[]): Host[] {
    return hosts.map((host) => {
      const proxy = this.proxies.get(`${routerId}>${host.id}`);
      if (!proxy) return host;
      return host.role === "router"
        ? { ...host, peerPort: proxy.port }
        : { ...host, port: proxy.port };
    });
  }

  /** Sets the mode of the proxies from some routers to some hosts.
   * @param routerIds Ids of the routers.
   * @param hostIds Ids of the hosts.
   * @param mode New mode. */
  setMode(
    routerIds: readonly string[],
    hostIds: readonly string[],
    mode: ProxyMode,
  ): void {
    for (const routerId of routerIds) {
      for (const hostId of hostIds) {
        this.proxies.get(`${routerId}>${hostId}`)?.setMode(mode);
      }
    }
  }

  /** Partitions two groups of routers in both directions, or heals the partition with mode `pass`.
   * @param left Ids of the routers of one group.
   * @param right Ids of the routers of the other group.
   * @param mode Mode of the proxies between the groups. */
  part(
    left: readonly string[],
    right: readonly string[],
    mode: ProxyMode,
  ): void {
    this.setMode(left, right, mode);
    this.setMode(right, left, mode);
  }

  /** Returns the partition of a router from hosts.
   * @param routerId Id of the router.
   * @param hostIds Ids of the hosts. */
  getPartition(routerId: string, hostIds: readonly string[]): NetworkPartition {
    const proxies = hostIds.flatMap((hostId) => {
      const proxy = this.proxies.get(`${routerId}>${hostId}`);
      return proxy ? [[hostId, proxy] as const] : [];
    });
    return NetworkPartition.of(new Map(proxies));
  }

  /** Closes all proxies. */
  close(): void {
    for (const proxy of this.proxies.values()) proxy.close();
  }
}
