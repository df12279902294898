import { BlackHole } from "./black_hole.ts";
import { FaultProxy } from "./fault_proxy.ts";

/** How a partition treats connections: all go silent, all are reset and new ones refused, or new ones are refused while
 * open ones live on. */
export type PartitionKind = "silent" | "reset" | "refuse_new";

/** All kinds of partition. */
export const PARTITION_KINDS: readonly PartitionKind[] = [
  "silent",
  "reset",
  "refuse_new",
];

/** The paths from one host to a number of servers, which can be lost together. */
export class NetworkPartition {
  private blackHole: BlackHole | undefined;
  private isActive = false;

  private constructor(
    /** Proxies by the address of the server behind them. */
    private readonly proxies: ReadonlyMap<string, FaultProxy>,
  ) {}

  /** Opens a path to each server.
   * @param addresses Addresses of the servers, as ip:port. */
  static async create(addresses: readonly string[]): Promise<NetworkPartition> {
    const entries = await Promise.all(
      addresses.map(async (address) => {
        const port = Number(address.split(":")[1]);
        return [address, await FaultProxy.create(port)] as const;
      }),
    );
    return new NetworkPartition(new Map(entries));
  }

  /** Creates the partition of a host from the servers behind proxies.
   * @param proxies The host's proxies by the address of the server behind them. */
  static of(proxies: ReadonlyMap<string, FaultProxy>): NetworkPartition {
    return new NetworkPartition(proxies);
  }

  /** Returns the address under which the host reaches a server.
   * @param address Address of the server, as ip:port. */
  getPathAddress(address: string): string {
    const proxy = this.proxies.get(address);
    if (!proxy) throw new Error(`no path to ${address}`);
    return `127.0.0.1:${proxy.port}`;
  }

  /** Loses all paths.
   * @param kind How connections are treated. */
  async start(kind: PartitionKind): Promise<void> {
    this.isActive = true;
    for (const proxy of this.proxies.values()) {
      proxy.refuseConnections();
      if (kind === "reset") proxy.setMode("reset");
      if (kind === "silent") proxy.setMode("freeze");
    }
    if (kind !== "silent") return;
    const ports = [...this.proxies.values()].map(({ port }) => port);
    this.blackHole = await BlackHole.create(ports);
  }

  /** Restores all paths. */
  async end(): Promise<void> {
    if (!this.isActive) return;
    this.isActive = false;
    await this.blackHole?.close();
    this.blackHole = undefined;
    for (const proxy of this.proxies.values()) {
      proxy.setMode("pass");
      await proxy.resumeListening();
    }
  }

  /** Closes all paths. */
  async close(): Promise<void> {
    await this.blackHole?.close();
    for (const proxy of this.proxies.values()) proxy.close();
  }
}
