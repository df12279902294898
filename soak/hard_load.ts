import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import { BOUNDS, FAULT_RECOVERY_MS, WORKER_DRAIN_MS } from "./bounds.ts";
import { isRemovable } from "./availability.ts";
import { LoadCaller } from "./load_caller.ts";
import { getUsualTraffic, OVERLOAD_TRAFFIC, type Traffic } from "./overload.ts";
import { SoakCaller } from "./soak_caller.ts";
import { COMPETING_CUSTOMERS } from "./soak_customers.ts";
import type { SoakFault } from "./soak_faults.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import { STARVATION_WINDOW_MS } from "./starvation.ts";

/** Usual callers of each competing customer. */
const USUAL_CALLERS = 3;
/** Callers that send during an overload only; together they exceed the slots and queues of all workers of a run of size
 * 1. */
const OVERLOAD_CALLERS = 42;
/** Range of the pause of a usual caller between two requests, in milliseconds. */
const USUAL_PAUSE_RANGE_MS = [20, 120] as const;
/** Range of the pause of a caller between two requests in an overload, in milliseconds. */
const OVERLOAD_PAUSE_RANGE_MS = [10, 120] as const;
/** Time before the first overload, in milliseconds. */
const LEAD_MS = 300;
/** Duration of an overload, in milliseconds: long enough to show whether a caller starves in it. */
const OVERLOAD_MS = STARVATION_WINDOW_MS + 500;
/** Time after an overload before the next one, in milliseconds: its requests end, and then callers are observed. */
const CALM_MS = 2 * STARVATION_WINDOW_MS + 200;
/** Range of the time between two changes of the workers, in milliseconds. */
const CHANGE_GAP_RANGE_MS = [300, 2_000] as const;
/** Range of the time for which an added worker serves before another leaves, in milliseconds. */
const ADDED_RANGE_MS = [500, 2_500] as const;
/** Range of the downtime of a worker that comes back slow, in milliseconds. */
const DOWNTIME_RANGE_MS = [0, 1_000] as const;

/** Runs overloads and changes of the workers beside the usual callers. Resolves after the observation of the last
 * overload.
 * @param fleet The fleet.
 * @param size Factor on the base number of callers.
 * @param faultsMs Time in which overloads follow each other, in milliseconds; there is at least one. */
export async function runHardLoad(
  fleet: SoakFleet,
  size: number,
  faultsMs: number,
): Promise<void> {
  let isOver = false;
  let traffic: Traffic | undefined;
  const random = fleet.forkLoadRandom();
  const usual = COMPETING_CUSTOMERS.flatMap((customer) =>
    createCallers(fleet, random, customer, USUAL_CALLERS * size).map((caller) =>
      caller.run(() => isOver, () => getUsualTraffic(customer))
    )
  );
  const additional = createCallers(
    fleet,
    random,
    "overload",
    OVERLOAD_CALLERS * size,
  ).map((caller) => caller.run(() => isOver, () => traffic));
  const changes = changeWorkers(fleet, random.fork(), () => isOver);
  await runOverloads(fleet, random.fork(), faultsMs, (current) => {
    traffic = current;
  });
  isOver = true;
  await Promise.all([...usual, ...additional, changes]);
}

function createCallers(
  fleet: SoakFleet,
  random: Random,
  group: string,
  count: number,
): LoadCaller[] {
  const pauseRangeMs = group === "overload"
    ? OVERLOAD_PAUSE_RANGE_MS
    : USUAL_PAUSE_RANGE_MS;
  return Array.from({ length: count }, (_, index) => {
    const name = `${group}-c${index}`;
    const caller = SoakCaller.create(name, fleet, random.fork(), true);
    return LoadCaller.create(caller, random.fork(), pauseRangeMs);
  });
}

async function runOverloads(
  fleet: SoakFleet,
  random: Random,
  faultsMs: number,
  setTraffic: (traffic: Traffic | undefined) => void,
): Promise<void> {
  const endsAt = performance.now() + faultsMs;
  const names = random.shuffle(Object.keys(OVERLOAD_TRAFFIC));
  await delay(LEAD_MS);
  for (let count = 0;; count++) {
    const name = names[count % names.length]!;
    const overload = fleet.beginOverload(name);
    setTraffic(OVERLOAD_TRAFFIC[name]!);
    await delay(OVERLOAD_MS);
    setTraffic(undefined);
    overload.to = performance.now();
    await delay(CALM_MS);
    if (performance.now() + OVERLOAD_MS + CALM_MS > endsAt) return;
  }
}

async function changeWorkers(
  fleet: SoakFleet,
  random: Random,
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    await delay(random.integer(...CHANGE_GAP_RANGE_MS));
    await random.pick(WORKER_CHANGES)(fleet, random);
  }
}

/** Adds a worker, which is slow at first; later another leaves. */
async function addSlowWorker(fleet: SoakFleet, random: Random): Promise<void> {
  const { service } = random.pick(fleet.workers);
  const added = await fleet.addWorker(service, undefined, undefined, true);
  const window = fleet.faults.begin("added slow", [added.id], true);
  await delay(random.integer(...ADDED_RANGE_MS));
  fleet.faults.end(window);
  const leaving = fleet.workers.find((worker) => worker.service === service);
  if (!leaving || !isRemovable(fleet, leaving)) return;
  fleet.excludeFromFaults(leaving);
  fleet.publishLeaving(leaving);
  await delay(BOUNDS.leaveWithinMs + WORKER_DRAIN_MS);
  fleet.store.remove(`servers/${leaving.id}`);
  const end = fleet.faults.begin("end", [leaving.id]);
  await leaving.close();
  fleet.faults.end(end);
}

/** Crashes a worker, which comes back with the same id and address and is slow at first. */
async function returnSlowly(fleet: SoakFleet, random: Random): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!isRemovable(fleet, worker)) return;
  const window = fleet.faults.begin("returns slowly", [worker.id]);
  fleet.excludeFromFaults(worker);
  await worker.crash();
  await delay(random.integer(...DOWNTIME_RANGE_MS));
  await fleet.addWorker(worker.service, worker.proxy, worker.id, true);
  await delay(FAULT_RECOVERY_MS);
  fleet.faults.end(window);
}

/** Changes of the workers during traffic. */
const WORKER_CHANGES: readonly SoakFault[] = [addSlowWorker, returnSlowly];
