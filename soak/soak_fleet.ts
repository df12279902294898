import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { FakeStore } from "../fakes/fake_store.ts";
import type { FaultProxy } from "../fakes/fault_proxy.ts";
import { Random } from "../src/random/random.ts";
import { BUNDLED_PROGRAM } from "../tools/program_process.ts";
import {
  type CallerAttempt,
  KIND_RULES,
  type RequestKind,
} from "./caller_attempt.ts";
import { crashForAWhile } from "./crashing_requests.ts";
import type { Leaving, PublishedVersion, Stop } from "./evidence.ts";
import { FaultLog } from "./fault_log.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { SoakWorker } from "./soak_worker.ts";
import type { WorkerDecline } from "./worker_decline.ts";
import type { WorkerRun } from "./worker_run.ts";

/** Key that every version of the configuration holds. */
export const LASTING_KEY = "key-lasting";
/** Customer that holds all keys. */
export const CUSTOMER = "customer-1";
/** Host that requests name. */
export const HOST = "soak.example";

/** Longest time for the first start of a fleet, in milliseconds. */
const START_TIMEOUT_MS = 30_000;
/** Interval at which it is looked whether the fleet has started, in milliseconds. */
const POLL_MS = 50;
/** Most gateways of a fleet. */
const MAX_GATEWAYS = 60;
/** Most fleets that one process may run at the same time. */
const MAX_FLEETS = 4;

/** What a fleet is made of. */
export interface SoakFleetOptions {
  seed: number;
  gateways: number;
  engines: number;
  plain: number;
  /** Command of the gateways; the bundle by default. */
  program?: readonly [string, ...string[]];
}

/** A store and workers as stand-ins in this process, and gateways as processes, with what each saw. */
export class SoakFleet {
  /** The gateways. */
  readonly gateways: GatewayProcess[] = [];
  /** The workers that faults may hit. */
  readonly workers: SoakWorker[] = [];
  /** What callers sent, and what came back. */
  readonly attempts: CallerAttempt[] = [];
  /** What workers ran, over all their starts. */
  readonly runs: WorkerRun[] = [];
  /** What workers turned away. */
  readonly declines: WorkerDecline[] = [];
  /** Versions of the configuration so far. */
  readonly versions: PublishedVersion[] = [];
  /** Words of workers that they leave. */
  readonly leavings: Leaving[] = [];
  /** Planned stops of gateways. */
  readonly stops: Stop[] = [];
  /** Faults so far. */
  readonly faults = FaultLog.create();
  private readonly folder = mkdtempSync(`${tmpdir()}/beechkeel-soak-`);
  private readonly random: Random;
  private readonly number = nextFleet();
  private workerCount = 0;

  private constructor(
    /** What the platform publishes. */
    readonly store: FakeStore,
    private readonly options: SoakFleetOptions,
  ) {
    this.random = Random.create(options.seed);
  }

  /** Starts a fleet and waits until every gateway serves.
   * @param options What it is made of. */
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
  get newest(): PublishedVersion {
    return this.versions.at(-1)!;
  }

  /** Loopback addresses of all gateways. */
  get gatewayIps(): string[] {
    return Array.from(
      { length: this.options.gateways },
      (_, index) => this.getIp(index),
    );
  }

  /** Publishes a version with a route and a key that only it holds, and all that last. */
  publishNextVersion(): void {
    const version = (this.versions.at(-1)?.version ?? 0) + 3;
    const key = `key-${version}`;
    this.store.put("op/config", buildConfiguration(version, key));
    this.versions.push({ version, key, at: performance.now() });
  }

  /** Starts a worker and publishes it.
   * @param service Service it belongs to.
   * @param proxy Proxy of a worker that is gone, whose address this one takes over.
   * @param id Id of a worker that starts again; a new one by default. */
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
      proxy,
    );
    worker.onCrashing = () =>
      void crashForAWhile(this, worker, this.random.fork());
    this.workers.push(worker);
    this.store.put(`servers/${worker.id}`, worker.describe("ready"));
    return worker;
  }

  /** Lets a worker say that it leaves.
   * @param worker The worker. */
  publishLeaving(worker: SoakWorker): void {
    this.store.put(`servers/${worker.id}`, worker.describe("draining"));
    this.leavings.push({ worker: worker.id, at: performance.now() });
  }

  /** Takes a worker off the list of those that faults may hit.
   * @param worker The worker. */
  forgetWorker(worker: SoakWorker): void {
    const index = this.workers.indexOf(worker);
    if (index >= 0) this.workers.splice(index, 1);
  }

  /** Waits until each gateway names all of them. */
  async waitUntilServing(): Promise<void> {
    const endsAt = performance.now() + START_TIMEOUT_MS;
    for (const gateway of this.gateways) {
      while ((await locate(gateway)).length < this.gateways.length) {
        if (performance.now() > endsAt) {
          throw new Error(`${gateway.id} does not name all gateways`);
        }
        await delay(POLL_MS);
      }
    }
  }

  /** Ends everything. */
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
    for (let index = 0; index < options.gateways; index++) {
      await this.addGateway(index);
    }
    await this.waitUntilServing();
  }

  private async addGateway(index: number): Promise<void> {
    const [firstIp] = this.gatewayIps;
    this.gateways.push(
      await GatewayProcess.create({
        id: `g-${index}`,
        ip: this.getIp(index),
        seeds: [firstIp!],
        storePort: this.store.port,
        folder: this.folder,
        program: this.options.program ?? BUNDLED_PROGRAM,
      }),
    );
  }

  /** An address that no other fleet on this machine uses at the same time, for it holds the numbers of the process and
   * of the fleet in it. */
  private getIp(index: number): string {
    const { pid } = process;
    const last = this.number * MAX_GATEWAYS + index + 1;
    return `127.${100 + (pid >> 8) % 100}.${pid & 0xff}.${last}`;
  }
}

let fleetCount = 0;

/** Number of a new fleet among those that this process may run at the same time. */
function nextFleet(): number {
  fleetCount += 1;
  return fleetCount % MAX_FLEETS;
}

/** Asks a gateway which addresses to use; none where it does not answer.
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
    tenants: [{ name: CUSTOMER, api_keys: [LASTING_KEY, key] }],
  };
}

function buildRoute(kind: RequestKind, version: number) {
  const rules = KIND_RULES[kind];
  const unstreamed = rules.mayRepeat ? "idempotent" : "non_idempotent";
  return {
    name: kind,
    host: HOST,
    path_prefix: kind === "version" ? `/version/${version}/` : `/${kind}/`,
    route_kind: rules.isStream ? "streaming" : unstreamed,
    timeout_ms: rules.timeoutMs,
    slo_ms: rules.isStream ? 400 : 120,
    service: rules.service,
    max_attempts: rules.maxAttempts,
    resumable: rules.isStream && rules.mayRepeat,
    sticky: rules.isStream,
    gap_target_ms: rules.isStream ? 400 : undefined,
  };
}
