import { setTimeout as delay } from "node:timers/promises";
import { FaultProxy, type ProxyMode } from "../fakes/fault_proxy.ts";
import type { PartitionKind } from "../fakes/network_partition.ts";
import { splitAddress } from "../src/addresses/split_address.ts";
import { DialError } from "../src/network/dial_error.ts";
import {
  CONNECT_TIMEOUT_MS,
  type Dial,
  dialTcp,
} from "../src/network/dial_tcp.ts";

/** What the proxies do with traffic, by the kind of partition. */
const PROXY_MODES: Readonly<Record<PartitionKind, ProxyMode>> = {
  silent: "freeze",
  reset: "reset",
  refuse_new: "pass",
};

/** Paths from one gateway to all upstreams, which can be lost together. Each path leads through a proxy. */
export class PartitionedDial {
  private readonly proxies = new Map<string, Promise<FaultProxy>>();
  private kind: PartitionKind | undefined;

  private constructor() {}

  /** Creates paths that connect. */
  static create(): PartitionedDial {
    return new PartitionedDial();
  }

  /** Establishes a connection over the path to an upstream. */
  readonly dial: Dial = async (address) => {
    if (this.kind === "silent") {
      await delay(CONNECT_TIMEOUT_MS);
      throw DialError.create("timed_out", `no connection to ${address}`);
    }
    if (this.kind !== undefined) {
      throw DialError.create("refused", `no path to ${address}`);
    }
    // A proxy accepts connections to a worker that refuses them.
    const probe = await dialTcp(address);
    probe.destroy();
    const { port } = await this.getProxy(address);
    return await dialTcp(`127.0.0.1:${port}`);
  };

  /** Loses all paths, or restores them.
   * @param kind How connections are treated; undefined if the paths are restored. */
  async setPartition(kind: PartitionKind | undefined): Promise<void> {
    this.kind = kind;
    const mode = kind === undefined ? "pass" : PROXY_MODES[kind];
    for (const proxy of this.proxies.values()) (await proxy).setMode(mode);
  }

  private getProxy(address: string): Promise<FaultProxy> {
    const known = this.proxies.get(address);
    if (known) return known;
    const proxy = FaultProxy.create(splitAddress(address).port);
    this.proxies.set(address, proxy);
    return proxy;
  }
}
