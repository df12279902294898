import { setTimeout as delay } from "node:timers/promises";
import type { ProxyMode } from "../fakes/fault_proxy.ts";
import type { Random } from "../src/random/random.ts";
import { leaveByAnswers, mayGo, turnAway } from "./availability.ts";
import { AFTERMATH_MS, BOUNDS, LINGER_MS } from "./bounds.ts";
import { ENTRY_LAPSES_MS, sendCrashingRequest } from "./crashing_requests.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { WorkerFault } from "./soak_worker.ts";

/** Injects one fault and takes it back; ends when it is over. */
export type SoakFault = (fleet: SoakFleet, random: Random) => Promise<void>;

/** Ways in which a connection breaks. */
const CUTS: readonly ProxyMode[] = [
  "cut",
  "reset",
  "freeze",
  "freeze_requests",
  "freeze_answers",
];
/** What workers do wrong. */
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
  await killAll(fleet, [random.pick(fleet.gateways)], random);
}

async function killManyGateways(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const hit = fleet.gateways.filter(() => random.fraction() < 0.7);
  await killAll(fleet, hit, random);
}

async function killAll(
  fleet: SoakFleet,
  hit: readonly GatewayProcess[],
  random: Random,
): Promise<void> {
  const window = fleet.faults.begin("kill", hit.map((gateway) => gateway.id));
  await Promise.all(hit.map((gateway) => gateway.program.kill()));
  await delay(random.integer(50, 1_200));
  for (const gateway of hit) gateway.program.start();
  await delay(AFTERMATH_MS);
  fleet.faults.end(window);
}

async function stopGateway(fleet: SoakFleet, random: Random): Promise<void> {
  await stop(fleet, random.pick(fleet.gateways));
}

/** Stops gateways in turn, each some time after the one before, whether that has ended or not. */
async function stopInTurn(fleet: SoakFleet, random: Random): Promise<void> {
  const gapMs = random.integer(200, 2_500);
  const stops = random.shuffle(fleet.gateways).map(async (gateway, index) => {
    await delay(index * gapMs);
    await stop(fleet, gateway);
  });
  await Promise.all(stops);
}

async function stop(fleet: SoakFleet, gateway: GatewayProcess): Promise<void> {
  const { program, id } = gateway;
  if (!program.isAlive) return;
  const life = program.starts;
  const window = fleet.faults.begin("stop", [id], true);
  fleet.stops.push({ gateway: id, life, at: performance.now() });
  program.signal("SIGTERM");
  const isOver = program.waitForExit().then(() => true);
  const limit = delay(BOUNDS.stopWithinMs, false, { ref: false });
  const hasEnded = await Promise.race([isOver, limit]);
  if (!hasEnded && program.starts === life) await program.kill();
  program.start();
  fleet.faults.end(window);
}

async function reloadGateway(fleet: SoakFleet, random: Random): Promise<void> {
  const gateway = random.pick(fleet.gateways);
  const window = fleet.faults.begin("reload", [gateway.id], true);
  const seeds = random.shuffle(fleet.gatewayIps).slice(0, 2);
  gateway.rewriteSettings(seeds);
  const hasSignal = random.fraction() < 0.7;
  if (hasSignal && gateway.program.isAlive) gateway.program.signal("SIGHUP");
  await delay(random.integer(50, 400));
  fleet.faults.end(window);
}

async function freezeGateway(fleet: SoakFleet, random: Random): Promise<void> {
  const gateway = random.pick(fleet.gateways);
  const window = fleet.faults.begin("freeze", [gateway.id]);
  gateway.program.signal("SIGSTOP");
  await delay(random.integer(200, 6_000));
  gateway.program.signal("SIGCONT");
  await delay(AFTERMATH_MS);
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

/** The store is away for a moment and comes back from a copy some seconds old; its writers write again what was lost. */
async function restoreStore(fleet: SoakFleet, random: Random): Promise<void> {
  const { store } = fleet;
  const copy = store.copy();
  await delay(random.integer(300, 4_000));
  const window = fleet.faults.begin("restore", ["store copy"]);
  store.behaviour = "unavailable";
  await delay(random.integer(50, 600));
  const lost = store.copy();
  store.restore(copy);
  store.behaviour = "well";
  await delay(random.integer(0, 2_000));
  store.rewriteLost(lost, copy);
  await delay(AFTERMATH_MS);
  fleet.faults.end(window);
}

async function cutFromStore(fleet: SoakFleet, random: Random): Promise<void> {
  const hit = fleet.gateways.filter(() => random.fraction() < 0.4);
  const mode = random.pick([...CUTS, "pass"] as const);
  const delayMs = random.integer(0, 900);
  const window = fleet.faults.begin(`store ${mode}`, ["store"]);
  for (const gateway of hit) gateway.storeProxy.setMode(mode, delayMs);
  await delay(random.integer(300, 7_000));
  for (const gateway of hit) gateway.storeProxy.setMode("pass");
  fleet.faults.end(window);
}

async function cutWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  const mode = random.pick([...CUTS, "pass"] as const);
  const window = fleet.faults.begin(`worker ${mode}`, [worker.id]);
  worker.proxy.setMode(mode, random.integer(0, 300));
  await delay(random.integer(100, 3_000));
  worker.proxy.setMode("pass");
  await delay(AFTERMATH_MS);
  fleet.faults.end(window);
}

async function misbehaveWorker(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const worker = random.pick(fleet.workers);
  const fault = random.pick(WORKER_FAULTS);
  const window = fleet.faults.begin(fault, [worker.id]);
  worker.fault = fault;
  await delay(random.integer(300, 4_000));
  worker.fault = "none";
  await delay(AFTERMATH_MS);
  fleet.faults.end(window);
}

/** A worker crashes; its address may go to one of another service at once. */
async function crashWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!mayGo(fleet, worker)) return;
  const window = fleet.faults.begin("crash", [worker.id]);
  fleet.forgetWorker(worker);
  await worker.crash();
  const isReused = random.fraction() < 0.5;
  if (isReused) {
    const other = worker.service === "plain" ? "engine" : "plain";
    await fleet.addWorker(other, worker.proxy);
  }
  await delay(ENTRY_LAPSES_MS);
  fleet.store.remove(`servers/${worker.id}`);
  if (!isReused) worker.proxy.close();
  await fleet.addWorker(worker.service);
  fleet.faults.end(window);
}

/** A worker is replaced: the new one comes first, the old one says that it leaves and serves on for a while. */
async function replaceWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!mayGo(fleet, worker)) return;
  fleet.forgetWorker(worker);
  await fleet.addWorker(worker.service);
  fleet.publishLeaving(worker);
  await delay(BOUNDS.leaveWithinMs + LINGER_MS);
  fleet.store.remove(`servers/${worker.id}`);
  const window = fleet.faults.begin("end", [worker.id]);
  await worker.close();
  fleet.faults.end(window);
}

/** A worker crashes and starts again at once under its id and address; nobody but its entry tells. */
async function restartWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!mayGo(fleet, worker)) return;
  const window = fleet.faults.begin("restart", [worker.id]);
  fleet.forgetWorker(worker);
  await worker.crash();
  await delay(random.integer(0, 800));
  await fleet.addWorker(worker.service, worker.proxy, worker.id);
  await delay(AFTERMATH_MS);
  fleet.faults.end(window);
}

/** Another writer spoils the entry of a worker, which works on until another takes over its address after a while. */
async function spoilEntry(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!mayGo(fleet, worker)) return;
  fleet.forgetWorker(worker);
  const { sequence: _, ...unsound } = worker.describe("ready");
  const texts = ["\u0000", "{", JSON.stringify(unsound), "null"];
  fleet.store.putText(`servers/${worker.id}`, random.pick(texts));
  fleet.leavings.push({ worker: worker.id, at: performance.now() });
  await delay(BOUNDS.leaveWithinMs + random.integer(500, 2_500));
  const again = await fleet.addWorker(worker.service, worker.proxy);
  fleet.faults.end(fleet.faults.begin("taken over", [worker.id, again.id]));
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

/** The faults by name. */
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
  cutWorker,
  misbehaveWorker,
  crashWorker,
  replaceWorker,
  changeConfiguration,
  sendCrashingRequest,
  restartWorker,
  spoilEntry,
  turnAway,
  leaveByAnswers,
};
