import { writeFileSync } from "node:fs";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import type { PartitionKind } from "../fakes/network_partition.ts";
import { ProgramProcess } from "../tools/program_process.ts";
import { BOUNDS } from "./bounds.ts";
import {
  PARTITION_ADDRESS_VARIABLE,
  setPartition,
} from "./partition_control.ts";

/** Ports of a gateway on the loopback address of that gateway. */
const PORTS = {
  caller: 8_101,
  ready: 8_102,
  peer: 8_103,
  locate: 8_104,
  partition: 8_105,
};
/** Port of the metrics, as set in the deploy file. */
const METRICS_PORT = 9_464;
/** First and last port of the gossip between gateways. */
const GOSSIP_PORTS = "8110,8119";
/** Bounds in the form of the settings file, with one unknown field, which gateways must ignore. */
const BOUND_SETTINGS = {
  "bounds.drain_ms": BOUNDS.leaveWithinMs,
  "bounds.revoke_ms": BOUNDS.revokeWithinMs,
  "bounds.retry_ratio": BOUNDS.retryRatio,
  "bounds.retry_window_s": BOUNDS.retryWindowMs / 1_000,
  "bounds.retry_extra": BOUNDS.retryExtra,
  "bounds.a_later_field": "skipped",
};

/** Options of a gateway process. */
export interface GatewayProcessOptions {
  id: string;
  /** Loopback address that only this gateway uses. */
  ip: string;
  /** Loopback addresses of the gateways through which it joins the others. */
  seeds: readonly string[];
  /** Port of the store. */
  storePort: number;
  /** Directory of its settings file. */
  folder: string;
  /** Command and its first arguments. */
  program: readonly [string, ...string[]];
  /** Longest duration of a graceful stop in milliseconds; that of the soak by default. */
  stopWithinMs?: number;
}

/** A gateway in a separate process, which reaches the store through a fault-injecting proxy. */
export class GatewayProcess {
  private constructor(
    private readonly options: GatewayProcessOptions,
    /** Proxy between the gateway and the store. */
    readonly storeProxy: FaultProxy,
    readonly program: ProgramProcess,
  ) {}

  /** Starts a gateway.
   * @param options Options of the gateway. */
  static async create(options: GatewayProcessOptions): Promise<GatewayProcess> {
    const storeProxy = await FaultProxy.create(options.storePort);
    const path = getSettingsPath(options);
    writeSettings(options, storeProxy.port, true);
    const program = ProgramProcess.create([
      ...options.program,
      "gateway",
      "--settings",
      path,
    ], { [PARTITION_ADDRESS_VARIABLE]: getPartitionAddress(options) });
    return new GatewayProcess(options, storeProxy, program);
  }

  /** Id of the gateway. */
  get id(): string {
    return this.options.id;
  }

  /** Address that callers connect to. */
  get callerAddress(): string {
    return `${this.options.ip}:${PORTS.caller}`;
  }

  /** Address of the lookup service that tells callers which gateways to use. */
  get locateAddress(): string {
    return `${this.options.ip}:${PORTS.locate}`;
  }

  /** Address at which metrics are served. */
  get metricsAddress(): string {
    return `${this.options.ip}:${METRICS_PORT}`;
  }

  /** Loses all its paths to workers, or restores them.
   * @param kind How connections are treated; undefined if the paths are restored. */
  async setPartition(kind: PartitionKind | undefined): Promise<void> {
    await setPartition(getPartitionAddress(this.options), kind);
  }

  /** Rewrites the settings file, as the platform does before a SIGHUP and before a restart.
   * @param seeds Loopback addresses of the gateways through which it joins the others. */
  rewriteSettings(seeds: readonly string[]): void {
    const options = { ...this.options, seeds };
    writeSettings(options, this.storeProxy.port, false);
  }

  /** Kills the process and closes its proxy. */
  async close(): Promise<void> {
    await this.program.kill();
    this.storeProxy.close();
  }
}

function getPartitionAddress({ ip }: GatewayProcessOptions): string {
  return `${ip}:${PORTS.partition}`;
}

function getSettingsPath({ folder, id }: GatewayProcessOptions): string {
  return `${folder}/${id}.conf`;
}

function writeSettings(
  options: GatewayProcessOptions,
  storePort: number,
  isFirstStart: boolean,
): void {
  const fields = {
    ...buildHostSettings(options),
    bootstrap: isFirstStart,
    "platform.address": `127.0.0.1:${storePort}`,
    ...BOUND_SETTINGS,
    "bounds.grace_s": (options.stopWithinMs ?? BOUNDS.stopWithinMs) / 1_000,
  };
  const lines = Object.entries(fields).map(([name, value]) =>
    `${name}=${value}\n`
  );
  writeFileSync(getSettingsPath(options), lines.join(""));
}

function buildHostSettings({ id, ip, seeds }: GatewayProcessOptions) {
  return {
    node_name: id,
    ip,
    zone: "h",
    region: "r",
    "listen.front": `${ip}:${PORTS.caller}`,
    "listen.readiness": `${ip}:${PORTS.ready}`,
    "listen.control": `${ip}:${PORTS.peer}`,
    "listen.directory": `${ip}:${PORTS.locate}`,
    port_range: GOSSIP_PORTS,
    seeds: seeds.map((seed) => `${seed}:${PORTS.peer}`).join(","),
  };
}
