import { setTimeout as delay } from "node:timers/promises";
import type { ProxyMode } from "../fakes/fault_proxy.ts";
import { PARTITION_KINDS } from "../fakes/network_partition.ts";
import type { Random } from "../src/random/random.ts";
import { isRemovable, leaveByAnswers, turnAway } from "./availability.ts";
import { BOUNDS, FAULT_RECOVERY_MS, WORKER_DRAIN_MS } from "./bounds.ts";
import {
  ENTRY_TTL_MS,
  sendCrashingPart,
  sendCrashingRequest,
} from "./crashing_requests.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWorker, WorkerFault } from "./soak_worker.ts";

/** Injects one fault, reverts it, and resolves when it is over. */
export type SoakFault = (fleet: SoakFleet, random: Random) => Promise<void>;

/** Proxy modes that disturb connections. */
const CONNECTION_FAULTS: readonly ProxyMode[] = [
  "cut",
  "reset",
  "freeze",
  "freeze_requests",
  "freeze_answers",
];
/** Faults of workers in handling requests. */
const WORKER_FAULTS: readonly WorkerFault[] = [
  "errors",
  "full",
  "reset",
  "mute",
  "cut_short",
  "surplus",
  "crossed",
  "slow",
];

async function killGateway(fleet: SoakFleet, random: Random): Promise<void> {
  await killAndRestart(fleet, [random.pick(fleet.gateways)], random);
}

async function killManyGateways(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const gateways = fleet.gateways.filter(() => random.fraction() < 0.7);
  await killAndRestart(fleet, gateways, random);
}

async function killAndRestart(
  fleet: SoakFleet,
  gateways: readonly GatewayProcess[],
  random: Random,
): Promise<void> {
  const window = fleet.faults.begin(
    "kill",
    gateways.map((gateway) => gateway.id),
  );
  await Promise.all(gateways.map((gateway) => gateway.program.kill()));
  await delay(random.integer(50, 1_200));
  for (const gateway of gateways) gateway.program.start();
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

async function stopGateway(fleet: SoakFleet, random: Random): Promise<void> {
  await stopAndRestart(fleet, random.pick(fleet.gateways));
}

/** Stops the gateways one after the other at a fixed interval, without waiting for the previous stop to end. */
async function stopInTurn(fleet: SoakFleet, random: Random): Promise<void> {
  const gapMs = random.integer(200, 2_500);
  const stops = random.shuffle(fleet.gateways).map(async (gateway, index) => {
    await delay(index * gapMs);
    await stopAndRestart(fleet, gateway);
  });
  await Promise.all(stops);
}

async function stopAndRestart(
  fleet: SoakFleet,
  gateway: GatewayProcess,
): Promise<void> {
  const { program, id } = gateway;
  if (!program.isAlive) return;
  const gatewayStart = program.starts;
  const window = fleet.faults.begin("stop", [id], true);
  fleet.gracefulStops.push({
    gateway: id,
    gatewayStart,
    at: performance.now(),
  });
  program.signal("SIGTERM");
  const exited = program.waitForExit().then(() => true);
  const timeout = delay(BOUNDS.stopWithinMs, false, { ref: false });
  const hasExited = await Promise.race([exited, timeout]);
  if (!hasExited && program.starts === gatewayStart) await program.kill();
  program.start();
  fleet.faults.end(window);
}

async function reloadGateway(fleet: SoakFleet, random: Random): Promise<void> {
  const gateway = random.pick(fleet.gateways);
  const window = fleet.faults.begin("reload", [gateway.id], true);
  const seeds = random.shuffle(fleet.gatewayIps).slice(0, 2);
  gateway.rewriteSettings(seeds);
  const sendsSignal = random.fraction() < 0.7;
  if (sendsSignal && gateway.program.isAlive) gateway.program.signal("SIGHUP");
  await delay(random.integer(50, 400));
  fleet.faults.end(window);
}

async function freezeGateway(fleet: SoakFleet, random: Random): Promise<void> {
  const gateway = random.pick(fleet.gateways);
  const window = fleet.faults.begin("freeze", [gateway.id]);
  gateway.program.signal("SIGSTOP");
  await delay(random.integer(200, 6_000));
  gateway.program.signal("SIGCONT");
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

async function troubleStore(fleet: SoakFleet, random: Random): Promise<void> {
  const behaviours = ["unavailable", "silent", "history_lost"] as const;
  const window = fleet.faults.begin("store", ["store"]);
  fleet.store.behaviour = random.pick(behaviours);
  await delay(random.integer(300, 7_000));
  fleet.store.behaviour = "well";
  fleet.faults.end(window);
}

/** Makes the store unavailable for a moment and restores it from a snapshot that is a few seconds old; its writers then
 * write the lost items again. */
async function restoreStore(fleet: SoakFleet, random: Random): Promise<void> {
  const { store } = fleet;
  const snapshot = store.takeSnapshot();
  await delay(random.integer(300, 4_000));
  const window = fleet.faults.begin("restore", ["store copy"]);
  store.behaviour = "unavailable";
  await delay(random.integer(50, 600));
  const lost = store.takeSnapshot();
  store.restore(snapshot);
  store.behaviour = "well";
  await delay(random.integer(0, 2_000));
  store.rewriteLost(lost, snapshot);
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

async function cutFromStore(fleet: SoakFleet, random: Random): Promise<void> {
  const gateways = fleet.gateways.filter(() => random.fraction() < 0.4);
  const mode = random.pick([...CONNECTION_FAULTS, "pass"] as const);
  const delayMs = random.integer(0, 900);
  const window = fleet.faults.begin(`store ${mode}`, ["store"]);
  for (const gateway of gateways) gateway.storeProxy.setMode(mode, delayMs);
  await delay(random.integer(300, 7_000));
  for (const gateway of gateways) gateway.storeProxy.setMode("pass");
  fleet.faults.end(window);
}

/** Cuts gateways off from all workers; callers, the store and the other gateways still reach them. */
async function cutFromWorkers(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const count = random.integer(1, fleet.gateways.length);
  const gateways = random.shuffle(fleet.gateways).slice(0, count);
  const kind = random.pick(PARTITION_KINDS);
  const window = fleet.faults.begin(
    `paths ${kind}`,
    gateways.map((gateway) => gateway.id),
  );
  await Promise.all(gateways.map((gateway) => gateway.setPartition(kind)));
  await delay(random.integer(500, 6_000));
  await Promise.all(gateways.map((gateway) => gateway.setPartition(undefined)));
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

async function cutWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  const mode = random.pick([...CONNECTION_FAULTS, "pass"] as const);
  const window = fleet.faults.begin(`worker ${mode}`, [worker.id]);
  worker.proxy.setMode(mode, random.integer(0, 300));
  await delay(random.integer(100, 3_000));
  worker.proxy.setMode("pass");
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

function misbehaveWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  return applyWorkerFault(fleet, random, worker, random.pick(WORKER_FAULTS));
}

/** Lets a worker answer without end. */
function respondForEver(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  return applyWorkerFault(fleet, random, worker, "endless");
}

async function applyWorkerFault(
  fleet: SoakFleet,
  random: Random,
  worker: SoakWorker,
  fault: WorkerFault,
): Promise<void> {
  const window = fleet.faults.begin(fault, [worker.id]);
  worker.fault = fault;
  await delay(random.integer(300, 4_000));
  worker.fault = "none";
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

/** Crashes a worker; a worker of another service may take over its address at once. */
async function crashWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!isRemovable(fleet, worker)) return;
  const window = fleet.faults.begin("crash", [worker.id]);
  fleet.excludeFromFaults(worker);
  await worker.crash();
  const isReused = random.fraction() < 0.5;
  if (isReused) {
    const other = worker.service === "plain" ? "engine" : "plain";
    await fleet.addWorker(other, worker.proxy);
  }
  await delay(ENTRY_TTL_MS);
  fleet.store.remove(`servers/${worker.id}`);
  if (!isReused) worker.proxy.close();
  await fleet.addWorker(worker.service);
  fleet.faults.end(window);
}

/** Replaces a worker: the new one starts first, then the old one announces in the store that it leaves and keeps
 * serving for a while. */
async function replaceWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!isRemovable(fleet, worker)) return;
  fleet.excludeFromFaults(worker);
  await fleet.addWorker(worker.service);
  fleet.publishLeaving(worker);
  await delay(BOUNDS.leaveWithinMs + WORKER_DRAIN_MS);
  fleet.store.remove(`servers/${worker.id}`);
  const window = fleet.faults.begin("end", [worker.id]);
  await worker.close();
  fleet.faults.end(window);
}

/** Crashes a worker and restarts it soon afterwards with the same id and address; only its entry shows the restart. */
async function restartWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!isRemovable(fleet, worker)) return;
  const window = fleet.faults.begin("restart", [worker.id]);
  fleet.excludeFromFaults(worker);
  await worker.crash();
  await delay(random.integer(0, 800));
  await fleet.addWorker(worker.service, worker.proxy, worker.id);
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

/** Overwrites the entry of a worker with an invalid one. The worker serves until another takes over its address. */
async function spoilEntry(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!isRemovable(fleet, worker)) return;
  fleet.excludeFromFaults(worker);
  const { sequence: _, ...incomplete } = worker.buildEntry("ready");
  const texts = ["\u0000", "{", JSON.stringify(incomplete), "null"];
  fleet.store.putText(`servers/${worker.id}`, random.pick(texts));
  fleet.leaveAnnouncements.push({ worker: worker.id, at: performance.now() });
  await delay(BOUNDS.leaveWithinMs + random.integer(500, 2_500));
  const successor = await fleet.addWorker(worker.service, worker.proxy);
  fleet.faults.end(fleet.faults.begin("taken over", [worker.id, successor.id]));
  fleet.store.remove(`servers/${worker.id}`);
  await worker.crash();
}

async function changeConfiguration(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const changes = random.integer(1, 5);
  for (let count = 0; count < changes; count++) {
    fleet.publishNextVersion();
    await delay(random.integer(20, 600));
  }
}

/** Faults by the name that selects them on the command line. */
export const SOAK_FAULTS: Readonly<Record<string, SoakFault>> = {
  killGateway,
  killManyGateways,
  stopGateway,
  stopInTurn,
  reloadGateway,
  freezeGateway,
  troubleStore,
  restoreStore,
  cutFromStore,
  cutFromWorkers,
  cutWorker,
  misbehaveWorker,
  crashWorker,
  replaceWorker,
  changeConfiguration,
  sendCrashingRequest,
  sendCrashingPart,
  restartWorker,
  spoilEntry,
  turnAway,
  leaveByAnswers,
  respondForEver,
};
