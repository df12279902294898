import { FaultProxy, type ProxyMode } from "../fakes/fault_proxy.ts";
import type { Host } from "../src/configuration_service/host_schema.ts";

/** Proxies between each router and every host it reaches, so that any two can be parted. */
export class ProxyMesh {
  private readonly proxies = new Map<string, FaultProxy>();

  private constructor() {}

  /** Creates a mesh without proxies. */
  static create(): ProxyMesh {
    return new ProxyMesh();
  }

  /** Makes the proxies that are missing.
   * @param readers Ids of the routers.
   * @param hosts All hosts. */
  async extend(
    readers: readonly string[],
    hosts: readonly Host[],
  ): Promise<void> {
    for (const reader of readers) {
      for (const host of hosts) {
        const name = `${reader}>${host.id}`;
        if (host.id === reader || this.proxies.has(name)) continue;
        this.proxies.set(
          name,
          await FaultProxy.create(host.peerPort ?? host.port),
        );
      }
    }
  }

  /** The list of hosts as one router is to see it: others behind their proxies.
   * @param reader The router.
   * @param hosts All hosts. */
  getView(reader: string, hosts: readonly Host[]): Host[] {
    return hosts.map((host) => {
      const proxy = this.proxies.get(`${reader}>${host.id}`);
      if (!proxy) return host;
      return host.role === "router"
        ? { ...host, peerPort: proxy.port }
        : { ...host, port: proxy.port };
    });
  }

  /** Changes what passes from some routers to some hosts.
   * @param readers The routers.
   * @param targets The hosts.
   * @param mode What is done with what passes. */
  setMode(
    readers: readonly string[],
    targets: readonly string[],
    mode: ProxyMode,
  ): void {
    for (const reader of readers) {
      for (const target of targets) {
        this.proxies.get(`${reader}>${target}`)?.setMode(mode);
      }
    }
  }

  /** Parts two groups of routers both ways, or joins them again.
   * @param left Some routers.
   * @param right Some other routers.
   * @param mode What is done with what passes between them. */
  part(
    left: readonly string[],
    right: readonly string[],
    mode: ProxyMode,
  ): void {
    this.setMode(left, right, mode);
    this.setMode(right, left, mode);
  }

  /** Ends all proxies. */
  close(): void {
    for (const proxy of this.proxies.values()) proxy.close();
  }
}
