import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { FakeStore } from "../fakes/fake_store.ts";
import type { FaultProxy } from "../fakes/fault_proxy.ts";
import { Random } from "../src/random/random.ts";
import { bundleSoakGateway } from "./bundle_soak_gateway.ts";
import type { CallerAttempt } from "./caller_attempt.ts";
import { crashAndReplace } from "./crashing_requests.ts";
import type {
  GracefulStop,
  LeaveAnnouncement,
  PublishedVersion,
} from "./evidence.ts";
import { FaultLog } from "./fault_log.ts";
import type { Overload } from "./overload.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { buildConfiguration, HOST } from "./soak_configuration.ts";
import { SoakWorker } from "./soak_worker.ts";
import type { WorkerDecline } from "./worker_decline.ts";
import { type LoadKind, WorkerLoad } from "./worker_load.ts";
import type { WorkerRun } from "./worker_run.ts";

/** Software versions of the workers, in turn. */
const VERSIONS = ["v1", "v2"] as const;
/** Time within which each gateway must list all gateways after the start of a fleet, in milliseconds. */
const START_TIMEOUT_MS = 30_000;
/** Interval at which the start of the fleet is polled, in milliseconds. */
const POLL_MS = 50;
/** Difference between the seed of a run and the seed of what only hard load draws. */
const LOAD_SEED_OFFSET = 1_000_000;
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
  /** How the workers are loaded; steadily by default. */
  load?: LoadKind;
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
  /** Overloads so far. */
  readonly overloads: Overload[] = [];
  /** Log of the faults so far. */
  readonly faults = FaultLog.create();
  private readonly folder = mkdtempSync(`${tmpdir()}/beechkeel-soak-`);
  private readonly random: Random;
  /** Source of what only hard load draws, so that other runs draw the same without it. */
  private readonly loadRandom: Random;
  private readonly fleetNumber = nextFleetNumber();
  private workerCount = 0;

  private constructor(
    /** Store in which configurations and the entries of workers are published. */
    readonly store: FakeStore,
    private readonly options: SoakFleetOptions,
  ) {
    this.random = Random.create(options.seed);
    this.loadRandom = Random.create(options.seed + LOAD_SEED_OFFSET);
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

  /** How the workers are loaded. */
  get load(): LoadKind {
    return this.options.load ?? "steady";
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
    this.store.put("op/config", buildConfiguration(version, key, this.load));
    this.versions.push({ version, key, at: performance.now() });
  }

  /** Starts a worker and publishes its entry.
   * @param service Service that it belongs to.
   * @param proxy Proxy of a stopped worker whose address this one takes over.
   * @param id Id of a worker that restarts; a new id by default.
   * @param startsSlowly Whether the worker is slower at first. */
  async addWorker(
    service: string,
    proxy?: FaultProxy,
    id?: string,
    startsSlowly = false,
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
    worker.load = this.createWorkerLoad(startsSlowly);
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

  /** Records the start of an overload. Returns it, so that its end can be set.
   * @param name Name of its traffic. */
  beginOverload(name: string): Overload {
    const overload = { name, from: performance.now(), to: undefined };
    this.overloads.push(overload);
    return overload;
  }

  /** Returns a new source of what only hard load draws. */
  forkLoadRandom(): Random {
    return this.loadRandom.fork();
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

  private createWorkerLoad(startsSlowly: boolean): WorkerLoad {
    if (this.load === "steady") return WorkerLoad.createSteady();
    return WorkerLoad.createHard(
      this.loadRandom.fork(),
      startsSlowly,
      this.load === "hard_reported",
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
