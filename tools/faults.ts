import { setTimeout as delay } from "node:timers/promises";
import { FakeEngine } from "../fakes/fake_engine.ts";
import type { Random } from "../src/random/random.ts";
import type { Fleet } from "./fleet.ts";

/** Injects one fault, waits, and removes it; returns a description of the fault. */
export type FaultInjector = (fleet: Fleet, random: Random) => Promise<string>;

async function killRouter(fleet: Fleet, random: Random): Promise<string> {
  const router = random.pick(fleet.routers);
  await router.kill();
  await delay(random.integer(100, 2_000));
  router.start();
  return `killed and restarted ${router.id}`;
}

async function pauseRouter(fleet: Fleet, random: Random): Promise<string> {
  const router = random.pick(fleet.routers);
  const milliseconds = random.integer(300, 6_000);
  router.signal("SIGSTOP");
  await delay(milliseconds);
  router.signal("SIGCONT");
  return `paused ${router.id} for ${milliseconds} ms`;
}

async function drainRouter(fleet: Fleet, random: Random): Promise<string> {
  const router = random.pick(fleet.routers);
  router.signal("SIGTERM");
  const exitCode = await router.waitForExit();
  router.start();
  return `drained ${router.id}, exit code ${exitCode}`;
}

async function partitionRouters(fleet: Fleet, random: Random): Promise<string> {
  const ids = random.shuffle(fleet.routers.map((router) => router.id));
  const leftSize = random.integer(1, ids.length - 1);
  const [left, right] = [ids.slice(0, leftSize), ids.slice(leftSize)];
  const mode = random.pick(
    ["cut", "freeze", "freeze_requests", "freeze_answers"] as const,
  );
  const milliseconds = random.integer(500, 5_000);
  fleet.proxyMesh.part(left, right, mode);
  await delay(milliseconds);
  fleet.proxyMesh.part(left, right, "pass");
  return `partitioned ${left} from ${right} (${mode}) for ${milliseconds} ms`;
}

async function disconnectUpstream(
  fleet: Fleet,
  random: Random,
): Promise<string> {
  const upstream =
    random.pick([...fleet.engines, ...fleet.services]).options.id;
  const routerIds = fleet.routers.map((router) => router.id).filter(() =>
    random.fraction() < 0.6
  );
  const mode = random.pick(["cut", "freeze", "freeze_answers"] as const);
  const milliseconds = random.integer(300, 3_000);
  fleet.proxyMesh.setMode(routerIds, [upstream], mode);
  await delay(milliseconds);
  fleet.proxyMesh.setMode(routerIds, [upstream], "pass");
  return `disconnected ${upstream} from ${routerIds} (${mode}) for ${milliseconds} ms`;
}

async function restartEngine(fleet: Fleet, random: Random): Promise<string> {
  const index = random.integer(0, fleet.engines.length - 1);
  const engine = fleet.engines[index]!;
  const port = engine.port;
  await engine.close();
  fleet.stoppedEngines.push(engine);
  await delay(random.integer(100, 1_500));
  fleet.engines[index] = await FakeEngine.create({ ...engine.options, port });
  return `restarted ${engine.options.id}`;
}

async function injectEngineFault(
  fleet: Fleet,
  random: Random,
): Promise<string> {
  const engine = random.pick(fleet.engines);
  engine.fault = random.pick(["crossed", "truncated", "silent"] as const);
  const { fault } = engine;
  await delay(random.integer(100, 1_000));
  engine.fault = "none";
  return `${engine.options.id} had fault ${fault}`;
}

async function markUpstreamLeaving(
  fleet: Fleet,
  random: Random,
): Promise<string> {
  const id = random.pick([...fleet.engines, ...fleet.services]).options.id;
  await fleet.setHostState(id, "leaving");
  await delay(random.integer(500, 3_000));
  await fleet.setHostState(id, "live");
  return `${id} was listed as leaving, then as live again`;
}

async function disruptPlatform(fleet: Fleet, random: Random): Promise<string> {
  const mode = random.pick(["down", "stale"] as const);
  fleet.platform.freezeStale();
  fleet.platform.setMode(mode);
  await delay(random.integer(500, 5_000));
  fleet.platform.setMode("up");
  return `platform was ${mode}`;
}

async function changeConfiguration(
  fleet: Fleet,
  random: Random,
): Promise<string> {
  const share = random.integer(10, 50) / 100;
  const parameters = { priority: random.integer(1, 9), capacityShare: share };
  const value = {
    kind: "customer",
    partner: "kilima",
    name: "clinics",
    template: "standard",
    parameters,
  };
  const revision = fleet.platform.publish("kilima/customers/clinics", value);
  await delay(100);
  return `published revision ${revision}`;
}

/** Fault injectors by name. */
export const FAULTS: Readonly<Record<string, FaultInjector>> = {
  killRouter,
  pauseRouter,
  drainRouter,
  partitionRouters,
  disconnectUpstream,
  restartEngine,
  injectEngineFault,
  markUpstreamLeaving,
  disruptPlatform,
  changeConfiguration,
};
