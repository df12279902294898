import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import type { CallerAttempt, RequestKind } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import { SoakCaller } from "./soak_caller.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWorker } from "./soak_worker.ts";

/** Prefix of the last path segment of a request that crashes each worker that starts to run it. */
const CRASHING_NAME_PREFIX = "crash-";
/** Kinds of request that may crash workers. */
const CRASHING_KINDS: readonly RequestKind[] = ["look", "book", "chat", "talk"];
/** Number of times that a crashing request is sent; together they last longer than the detection time after its third
 * crash. */
const SEND_COUNT = 24;
/** Range of the pause between two attempts, in milliseconds. */
const PAUSE_RANGE_MS = [80, 500] as const;
/** Range of the downtime of a crashed worker, in milliseconds. */
const DOWNTIME_RANGE_MS = [300, 1_500] as const;
/** Time after which the entry of a crashed worker is removed, in milliseconds: three heartbeats. */
export const ENTRY_TTL_MS = 1_200;
/** Time after the third crash by which all hosts must have detected a crashing request, in milliseconds. */
const DETECTION_MS = 3_000;
/** Most times that a crashing request may reach a worker after that. */
const MAX_LATE_RUNS = 3;

/** Whether a path belongs to a request that crashes workers.
 * @param path Path of the request. */
export function isCrashingPath(path: string): boolean {
  return path.includes(`/${CRASHING_NAME_PREFIX}`);
}

/** Sends one request that crashes workers repeatedly, through random gateways and with a new request id each time.
 * @param fleet The fleet.
 * @param random Source of randomness. */
export async function sendCrashingRequest(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const number = random.integer(1, 1_000_000);
  const caller = SoakCaller.create(`crashing-${number}`, fleet, random, true);
  const kind = random.pick(CRASHING_KINDS);
  for (let count = 0; count < SEND_COUNT; count++) {
    await caller.sendNamed(kind, `${CRASHING_NAME_PREFIX}${number}`);
    await delay(random.integer(...PAUSE_RANGE_MS));
  }
  await caller.close();
}

/** Crashes a worker and starts another at its address after a random downtime.
 * @param fleet The fleet.
 * @param worker The worker.
 * @param random Source of randomness. */
export async function crashAndReplace(
  fleet: SoakFleet,
  worker: SoakWorker,
  random: Random,
): Promise<void> {
  if (!fleet.workers.includes(worker)) return;
  const window = fleet.faults.begin("crashed by a request", [worker.id]);
  fleet.excludeFromFaults(worker);
  await worker.crash();
  await worker.proxy.stopListening();
  const entryRemoval = delay(ENTRY_TTL_MS).then(() =>
    fleet.store.remove(`servers/${worker.id}`)
  );
  await delay(random.integer(...DOWNTIME_RANGE_MS));
  await fleet.addWorker(worker.service, worker.proxy);
  await worker.proxy.resumeListening();
  await entryRemoval;
  fleet.faults.end(window);
}

/** Finds crashing requests that reached too many workers after they had crashed three.
 * @param evidence What callers, workers and the store saw. */
export function checkCrashingRequests({ runs }: Evidence): string[] {
  const crashing = runs.filter((run) => isCrashingPath(run.path));
  const paths = [...new Set(crashing.map((run) => run.path))];
  return paths.flatMap((path) => {
    const times = crashing.filter((run) => run.path === path)
      .map((run) => run.startedAt).sort((a, b) => a - b);
    const thirdAt = times[2] ?? Infinity;
    const late = times.filter((at) => at > thirdAt + DETECTION_MS);
    return late.length > MAX_LATE_RUNS
      ? [`${path} reached ${late.length} workers after three had crashed`]
      : [];
  });
}

/** Summary of the crashing requests of a run. */
export interface CrashSummary {
  /** Number of distinct crashing requests. */
  requests: number;
  /** Number of workers that they crashed. */
  crashes: number;
  /** Number of attempts of other requests that were refused as crashing requests. */
  innocentRefused: number;
}

/** Summarizes the crashing requests of a run.
 * @param attempts Attempts of callers.
 * @param runs Runs of workers. */
export function summarizeCrashes(
  attempts: readonly CallerAttempt[],
  runs: Evidence["runs"],
): CrashSummary {
  const isCrashing = ({ path }: { path: string }) => isCrashingPath(path);
  const refused = attempts.filter((attempt) =>
    attempt.text.includes('"kind":"crashes_upstreams"')
  );
  return {
    requests: new Set(attempts.filter(isCrashing).map(({ path }) => path)).size,
    crashes: runs.filter(isCrashing).length,
    innocentRefused: refused.filter((attempt) => !isCrashing(attempt)).length,
  };
}
