import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { FakeStore } from "../fakes/fake_store.ts";
import { buildWorkerEntry } from "../fakes/worker_entry.ts";
import { Random } from "../src/random/random.ts";
import { bundleSoakGateway } from "./bundle_soak_gateway.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { locate } from "./soak_fleet.ts";
import {
  DEADLINE_MS,
  STOP_HOST,
  STOP_KEY,
  StopCallers,
} from "./stop_caller.ts";
import type { StopStream } from "./stop_stream.ts";
import { StopWorker } from "./stop_worker.ts";
import { STREAM_DURATIONS } from "./stream_durations.ts";

/** Service of the workers. */
const SERVICE = "engine";
/** Slots of a worker. */
const SLOTS = 64;
/** Time of traffic before the first stop, in milliseconds. */
const BEFORE_STOP_MS = 6_000;
/** Time within which all gateways must list each other, in milliseconds. */
const START_TIMEOUT_MS = 30_000;
/** Time after its exit in which a gateway is back, in milliseconds. */
const RESTART_MS = 1_500;
/** Pause between two polls of the gateways, in milliseconds. */
const POLL_MS = 50;

/** Options of a run. */
export interface StopRunOptions {
  seed: number;
  /** Name of the distribution of the streams' durations. */
  durations: string;
  gateways: number;
  workers: number;
  /** Streams that callers ask for, per second. */
  ratePerSecond: number;
  /** Time that a stop may take, in milliseconds. */
  stopWithinMs: number;
  /** Number of gateways that are stopped one after the other. */
  stops: number;
  /** Time between two stops, in milliseconds. */
  stopGapMs: number;
  /** Whether streams may be resumed. */
  isResumable: boolean;
}

/** A stop of a gateway. */
export interface ObservedStop {
  gateway: string;
  at: number;
  /** When its process had exited. */
  exitedAt: number | undefined;
}

/** What a run showed. */
export interface StopRunResult {
  streams: readonly StopStream[];
  stops: readonly ObservedStop[];
  /** Lines that the gateways wrote, by id. */
  logs: ReadonlyMap<string, readonly string[]>;
}

/** One run: traffic of streams on kept connections while gateways are stopped. */
export class StopRun {
  private readonly folder = mkdtempSync(`${tmpdir()}/beechkeel-stops-`);
  private readonly gateways: GatewayProcess[] = [];
  private readonly workers: StopWorker[] = [];
  private readonly callers = StopCallers.create();
  private readonly stops: ObservedStop[] = [];
  private readonly random: Random;

  private constructor(
    private readonly options: StopRunOptions,
    private readonly store: FakeStore,
  ) {
    this.random = Random.create(options.seed);
  }

  /** Runs traffic and stops; resolves when all streams have ended.
   * @param options Options of the run. */
  static async run(options: StopRunOptions): Promise<StopRunResult> {
    const run = new StopRun(options, await FakeStore.create());
    try {
      await run.start();
      await run.play();
      return run.describe();
    } finally {
      await run.close();
    }
  }

  private async start(): Promise<void> {
    const { gateways, workers } = this.options;
    this.store.put("op/config", buildConfiguration());
    for (let index = 0; index < workers; index++) await this.addWorker(index);
    const program = await bundleSoakGateway(this.folder);
    for (let index = 0; index < gateways; index++) {
      this.gateways.push(
        await GatewayProcess.create({
          id: `g-${index}`,
          ip: getIp(index),
          seeds: [getIp(0)],
          storePort: this.store.port,
          folder: this.folder,
          program,
          stopWithinMs: this.options.stopWithinMs,
        }),
      );
    }
    await this.waitUntilServing();
  }

  private async addWorker(index: number): Promise<void> {
    const worker = await StopWorker.create(
      `w-${index}`,
      () => this.getPaceFactor(),
    );
    this.workers.push(worker);
    const { id, address, startedAt } = worker.worker;
    const state = "ready" as const;
    const entry = { service: SERVICE, address, state, slots: SLOTS, startedAt };
    this.store.put(`servers/${id}`, buildWorkerEntry(entry));
  }

  private getPaceFactor(): number {
    const startedAt = this.stops[0]?.at;
    if (startedAt === undefined) return 1;
    const { getPaceFactor } = STREAM_DURATIONS[this.options.durations]!;
    return getPaceFactor?.(performance.now() - startedAt) ?? 1;
  }

  private async play(): Promise<void> {
    const { stops, stopGapMs, stopWithinMs } = this.options;
    let isOver = false;
    const traffic = this.sendStreams(() => isOver);
    await delay(BEFORE_STOP_MS);
    const stopping: Promise<void>[] = [];
    for (let index = 0; index < stops; index++) {
      stopping.push(this.stop(this.gateways[index % this.gateways.length]!));
      if (index < stops - 1) await delay(stopGapMs);
    }
    await delay(stopWithinMs);
    isOver = true;
    await Promise.all([...stopping, traffic]);
  }

  private async stop(gateway: GatewayProcess): Promise<void> {
    const { id, program } = gateway;
    const stop: ObservedStop = {
      gateway: id,
      at: performance.now(),
      exitedAt: undefined,
    };
    this.stops.push(stop);
    const { starts } = program;
    program.signal("SIGTERM");
    const exited = program.waitForExit();
    await Promise.race([exited, delay(this.options.stopWithinMs)]);
    if (program.starts === starts) await program.kill();
    stop.exitedAt = performance.now();
    program.start();
  }

  private async sendStreams(isOver: () => boolean): Promise<void> {
    const sent: Promise<void>[] = [];
    const startedAt = performance.now();
    const intervalMs = 1_000 / this.options.ratePerSecond;
    for (let count = 0; !isOver(); count++) {
      sent.push(this.sendStream(count));
      const nextAt = startedAt + (count + 1) * intervalMs;
      await delay(Math.max(0, nextAt - performance.now()));
    }
    await Promise.all(sent);
  }

  private async sendStream(count: number): Promise<void> {
    const { durations, seed, isResumable } = this.options;
    const { plan, eventBytes = 0, slowReaders = 0 } =
      STREAM_DURATIONS[durations]!;
    const order = {
      name: `s${seed}-${count}`,
      plan: plan(this.random),
      eventBytes,
      readsSlowly: this.random.fraction() < slowReaders,
      isResumable,
    };
    const first = this.gateways[count % Math.max(1, this.options.stops)]!;
    await this.callers.run(
      order,
      (attempt) =>
        attempt === 0 && this.isUsable(first) ? first : this.chooseReady(),
    );
  }

  /** Whether callers may have open connections to a gateway: until its process has exited, and once it is back. */
  private isUsable({ id }: GatewayProcess): boolean {
    return !this.stops.some(({ gateway, exitedAt }) =>
      gateway === id && exitedAt !== undefined
    );
  }

  private chooseReady(): GatewayProcess | undefined {
    const now = performance.now();
    const ready = this.gateways.filter(({ id }) =>
      !this.stops.some(({ gateway, exitedAt = Infinity }) =>
        gateway === id && now < exitedAt + RESTART_MS
      )
    );
    return ready.length === 0 ? undefined : this.random.pick(ready);
  }

  private async waitUntilServing(): Promise<void> {
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

  private describe(): StopRunResult {
    return {
      streams: this.callers.streams,
      stops: this.stops,
      logs: new Map(
        this.gateways.map(({ id, program }) => [id, program.logLines]),
      ),
    };
  }

  private async close(): Promise<void> {
    await this.callers.close();
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function buildConfiguration() {
  const route = {
    host: STOP_HOST,
    route_kind: "streaming",
    timeout_ms: DEADLINE_MS,
    slo_ms: 500,
    gap_target_ms: 400,
    service: SERVICE,
    max_attempts: 2,
    sticky: true,
  };
  return {
    version: 1,
    routes: [
      { ...route, name: "chat", path_prefix: "/chat/", resumable: true },
      { ...route, name: "talk", path_prefix: "/talk/", resumable: false },
    ],
    services: [{ name: SERVICE, max_conns: 360, engine: { moves: false } }],
    tenants: [{ name: "c", api_keys: [STOP_KEY] }],
  };
}

/** Loopback address of a gateway, which no other run on this machine uses at the same time. */
function getIp(index: number): string {
  const { pid } = process;
  return `127.${20 + (pid >> 8) % 80}.${pid & 0xff}.${index + 1}`;
}
