import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { FakeStore } from "../fakes/fake_store.ts";
import type { FaultProxy } from "../fakes/fault_proxy.ts";
import { Random } from "../src/random/random.ts";
import { bundleSoakGateway } from "./bundle_soak_gateway.ts";
import {
  type CallerAttempt,
  KIND_RULES,
  type RequestKind,
} from "./caller_attempt.ts";
import { crashAndReplace } from "./crashing_requests.ts";
import type {
  GracefulStop,
  LeaveAnnouncement,
  PublishedVersion,
} from "./evidence.ts";
import { FaultLog } from "./fault_log.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { SoakWorker } from "./soak_worker.ts";
import type { WorkerDecline } from "./worker_decline.ts";
import type { WorkerRun } from "./worker_run.ts";

/** API key that every version of the configuration contains. */
export const PERMANENT_KEY = "key-lasting";
/** Customer that owns all API keys. */
export const CUSTOMER = "customer-1";
/** Host name in the requests of callers. */
export const HOST = "soak.example";

/** Software versions of the workers, in turn. */
const VERSIONS = ["v1", "v2"] as const;
/** Time within which each gateway must list all gateways after the start of a fleet, in milliseconds. */
const START_TIMEOUT_MS = 30_000;
/** Interval at which the start of the fleet is polled, in milliseconds. */
const POLL_MS = 50;
/** Largest number of gateways in a fleet. */
const MAX_GATEWAYS = 60;
/** Largest number of fleets that one process may run concurrently. */
const MAX_FLEETS = 4;

/** Options of a fleet. */
export interface SoakFleetOptions {
  seed: number;
  gateways: number;
  engines: number;
  plain: number;
  /** Command that starts the gateways; by default a bundle of the program whose paths to workers can be cut. */
  program?: readonly [string, ...string[]];
}

/** A fleet with a fake store and fake workers in this process and gateways in processes of their own. It records what
 * callers, workers and the store see. */
export class SoakFleet {
  readonly gateways: GatewayProcess[] = [];
  /** Workers that faults may target. */
  readonly workers: SoakWorker[] = [];
  /** Attempts of callers with their responses. */
  readonly attempts: CallerAttempt[] = [];
  /** Requests that workers ran, over all their starts. */
  readonly runs: WorkerRun[] = [];
  /** Requests that workers declined. */
  readonly declines: WorkerDecline[] = [];
  /** Versions of the configuration published so far. */
  readonly versions: PublishedVersion[] = [];
  /** Announcements in the store that workers leave. */
  readonly leaveAnnouncements: LeaveAnnouncement[] = [];
  /** Graceful stops of gateways. */
  readonly gracefulStops: GracefulStop[] = [];
  /** Log of the faults so far. */
  readonly faults = FaultLog.create();
  private readonly folder = mkdtempSync(`${tmpdir()}/beechkeel-soak-`);
  private readonly random: Random;
  private readonly fleetNumber = nextFleetNumber();
  private workerCount = 0;

  private constructor(
    /** Store in which configurations and the entries of workers are published. */
    readonly store: FakeStore,
    private readonly options: SoakFleetOptions,
  ) {
    this.random = Random.create(options.seed);
  }

  /** Starts a fleet and waits until every gateway serves.
   * @param options Options of the fleet. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const fleet = new SoakFleet(await FakeStore.create(), options);
    try {
      await fleet.start();
    } catch (error) {
      await fleet.close();
      throw error;
    }
    return fleet;
  }

  /** The newest version of the configuration. */
  get newestVersion(): PublishedVersion {
    return this.versions.at(-1)!;
  }

  /** Loopback addresses of all gateways. */
  get gatewayIps(): string[] {
    return Array.from(
      { length: this.options.gateways },
      (_, index) => this.getIp(index),
    );
  }

  /** Publishes a new version of the configuration, with the permanent routes and key, and a route and a key that only
   * this version contains. */
  publishNextVersion(): void {
    const version = (this.versions.at(-1)?.version ?? 0) + 3;
    const key = `key-${version}`;
    this.store.put("op/config", buildConfiguration(version, key));
    this.versions.push({ version, key, at: performance.now() });
  }

  /** Starts a worker and publishes its entry.
   * @param service Service that it belongs to.
   * @param proxy Proxy of a stopped worker whose address this one takes over.
   * @param id Id of a worker that restarts; a new id by default. */
  async addWorker(
    service: string,
    proxy?: FaultProxy,
    id?: string,
  ): Promise<SoakWorker> {
    this.workerCount += 1;
    const worker = await SoakWorker.create(
      id ?? `w-${this.workerCount}`,
      service,
      this,
      this.random.fork(),
      VERSIONS[this.workerCount % VERSIONS.length]!,
      proxy,
    );
    worker.onCrashRequest = () =>
      void crashAndReplace(this, worker, this.random.fork());
    this.workers.push(worker);
    this.store.put(`servers/${worker.id}`, worker.buildEntry("ready"));
    return worker;
  }

  /** Publishes that a worker leaves.
   * @param worker The worker. */
  publishLeaving(worker: SoakWorker): void {
    this.store.put(`servers/${worker.id}`, worker.buildEntry("draining"));
    this.leaveAnnouncements.push({ worker: worker.id, at: performance.now() });
  }

  /** Excludes a worker from further faults.
   * @param worker The worker. */
  excludeFromFaults(worker: SoakWorker): void {
    const index = this.workers.indexOf(worker);
    if (index >= 0) this.workers.splice(index, 1);
  }

  /** Waits until the lookup of each gateway returns all gateways. */
  async waitUntilServing(): Promise<void> {
    const endsAt = performance.now() + START_TIMEOUT_MS;
    for (const gateway of this.gateways) {
      while ((await locate(gateway)).length < this.gateways.length) {
        if (performance.now() > endsAt) {
          throw new Error(`${gateway.id} does not list all gateways in time`);
        }
        await delay(POLL_MS);
      }
    }
  }

  /** Stops all processes and fakes, and removes the settings files. */
  async close(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async start(): Promise<void> {
    const { options } = this;
    this.publishNextVersion();
    for (let count = 0; count < options.engines; count++) {
      await this.addWorker("engine");
    }
    for (let count = 0; count < options.plain; count++) {
      await this.addWorker("plain");
    }
    const program = options.program ?? await bundleSoakGateway(this.folder);
    const [firstIp] = this.gatewayIps;
    for (let index = 0; index < options.gateways; index++) {
      await this.addGateway(index, program);
    }
    await this.waitUntilServing();
    // Only the first start of the whole fleet is marked as one.
    for (const gateway of this.gateways) gateway.rewriteSettings([firstIp!]);
  }

  private async addGateway(
    index: number,
    program: readonly [string, ...string[]],
  ): Promise<void> {
    const [firstIp] = this.gatewayIps;
    this.gateways.push(
      await GatewayProcess.create({
        id: `g-${index}`,
        ip: this.getIp(index),
        seeds: [firstIp!],
        storePort: this.store.port,
        folder: this.folder,
        program,
      }),
    );
  }

  /** Loopback address that no other fleet on this machine uses at the same time: it is derived from the process id and
   * the number of the fleet. */
  private getIp(index: number): string {
    const { pid } = process;
    const last = this.fleetNumber * MAX_GATEWAYS + index + 1;
    return `127.${100 + (pid >> 8) % 100}.${pid & 0xff}.${last}`;
  }
}

let fleetCount = 0;

/** Returns the number of a new fleet among those that this process may run concurrently. */
function nextFleetNumber(): number {
  fleetCount += 1;
  return fleetCount % MAX_FLEETS;
}

/** Asks the lookup service of a gateway which addresses to use. Returns none if it does not respond.
 * @param gateway The gateway. */
export async function locate(gateway: GatewayProcess): Promise<string[]> {
  try {
    const url = `http://${gateway.locateAddress}/lookup?name=${HOST}`;
    const response = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    const { addresses } = await response.json() as { addresses: string[] };
    return addresses;
  } catch {
    return [];
  }
}

function buildConfiguration(version: number, key: string) {
  const kinds = Object.keys(KIND_RULES) as RequestKind[];
  return {
    version,
    routes: kinds.map((kind) => buildRoute(kind, version)),
    services: [
      { name: "plain", max_conns: 200 },
      { name: "engine", max_conns: 200, engine: { moves: false } },
    ],
    tenants: [{ name: CUSTOMER, api_keys: [PERMANENT_KEY, key] }],
  };
}

function buildRoute(kind: RequestKind, version: number) {
  const rules = KIND_RULES[kind];
  const unaryKind = rules.mayRepeat ? "idempotent" : "non_idempotent";
  return {
    name: kind,
    host: HOST,
    path_prefix: kind === "version" ? `/version/${version}/` : `/${kind}/`,
    route_kind: rules.isStream ? "streaming" : unaryKind,
    timeout_ms: rules.timeoutMs,
    slo_ms: rules.isStream ? 400 : 120,
    service: rules.service,
    max_attempts: rules.maxAttempts,
    resumable: rules.isStream && rules.mayRepeat,
    sticky: rules.isStream,
    gap_target_ms: rules.isStream ? 400 : undefined,
  };
}
