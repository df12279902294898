import { writeFileSync } from "node:fs";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { ProgramProcess } from "../tools/program_process.ts";
import { BOUNDS } from "./bounds.ts";

/** Ports of a gateway on the address of its own. */
const PORTS = { caller: 8_101, ready: 8_102, peer: 8_103, locate: 8_104 };
/** Port of the metrics, as the deploy file names it. */
const METRICS_PORT = 9_464;
/** First and last port for what gateways tell each other. */
const GOSSIP_PORTS = "8110,8119";
/** The bounds as a settings file names them, with one that gateways do not know yet. */
const BOUND_FIELDS = {
  "bounds.drain_ms": BOUNDS.leaveWithinMs,
  "bounds.grace_s": BOUNDS.stopWithinMs / 1_000,
  "bounds.revoke_ms": BOUNDS.keyBeliefMs,
  "bounds.retry_ratio": BOUNDS.retryRatio,
  "bounds.retry_window_s": BOUNDS.retryWindowMs / 1_000,
  "bounds.retry_extra": BOUNDS.retryExtra,
  "bounds.a_later_field": "skipped",
};

/** What a gateway is started with. */
export interface GatewayProcessOptions {
  id: string;
  /** Loopback address of its own. */
  ip: string;
  /** Loopback addresses of the gateways it knows at first. */
  seeds: readonly string[];
  /** Port of the store. */
  storePort: number;
  /** Folder for its settings file. */
  folder: string;
  /** The program and its first arguments. */
  program: readonly [string, ...string[]];
}

/** A gateway as a process of its own, which reaches the store through a proxy. */
export class GatewayProcess {
  private constructor(
    private readonly options: GatewayProcessOptions,
    /** The way to the store. */
    readonly storeProxy: FaultProxy,
    /** The process. */
    readonly program: ProgramProcess,
  ) {}

  /** Starts a gateway.
   * @param options What it is started with. */
  static async create(options: GatewayProcessOptions): Promise<GatewayProcess> {
    const storeProxy = await FaultProxy.create(options.storePort);
    const path = getSettingsPath(options);
    writeSettings(options, storeProxy.port, true);
    const program = ProgramProcess.create([
      ...options.program,
      "gateway",
      "--settings",
      path,
    ]);
    return new GatewayProcess(options, storeProxy, program);
  }

  /** Its name. */
  get id(): string {
    return this.options.id;
  }

  /** Where callers connect. */
  get callerAddress(): string {
    return `${this.options.ip}:${PORTS.caller}`;
  }

  /** Where callers ask which addresses to use. */
  get locateAddress(): string {
    return `${this.options.ip}:${PORTS.locate}`;
  }

  /** Where its counters are served. */
  get metricsAddress(): string {
    return `${this.options.ip}:${METRICS_PORT}`;
  }

  /** Writes its settings anew, as the platform does before a SIGHUP and before another start.
   * @param seeds Loopback addresses of the gateways it is to know. */
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

function getSettingsPath({ folder, id }: GatewayProcessOptions): string {
  return `${folder}/${id}.conf`;
}

function writeSettings(
  options: GatewayProcessOptions,
  storePort: number,
  isFirstStart: boolean,
): void {
  const fields = {
    ...describeHost(options),
    bootstrap: isFirstStart,
    "platform.address": `127.0.0.1:${storePort}`,
    ...BOUND_FIELDS,
  };
  const lines = Object.entries(fields).map(([name, value]) =>
    `${name}=${value}\n`
  );
  writeFileSync(getSettingsPath(options), lines.join(""));
}

function describeHost({ id, ip, seeds }: GatewayProcessOptions) {
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
