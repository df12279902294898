import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import type { CallerAttempt, RequestKind } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import { SoakCaller } from "./soak_caller.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWorker } from "./soak_worker.ts";

/** Prefix of the last path segment of a request that crashes each worker that starts to run it. */
const CRASHING_NAME_PREFIX = "crash-";
/** Prefix of the id of a prompt part that crashes each worker that starts to answer a prompt with it. */
const CRASHING_PART_PREFIX = "dead";
/** Matches such a part in the prompt headers of a request. */
const CRASHING_PART_PATTERN = new RegExp(`${CRASHING_PART_PREFIX}[0-9]+`);
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
/** Number of crashes after which all hosts must detect a crashing part of prompts within the same time. */
const KNOWN_PART_CRASHES = 5;
/** Most times that a crashing request, or a prompt with a crashing part, may reach a worker after that. */
const MAX_LATE_RUNS = 3;

/** Error kinds of the refusals of requests that crash workers. */
const REFUSALS = ["crashes_upstreams", "prompt_crashes_upstreams"] as const;

/** Whether a path belongs to a request that crashes workers.
 * @param path Path of the request. */
export function isCrashingPath(path: string): boolean {
  return path.includes(`/${CRASHING_NAME_PREFIX}`);
}

/** Whether a request crashes the worker that starts to run it.
 * @param request Its path and prompt headers. */
export function crashesWorkers(
  { path, prompt }: { path: string; prompt: string },
): boolean {
  return isCrashingPath(path) || findCrashingPart(prompt) !== undefined;
}

/** Sends prompts that share only one part, which crashes workers, through random gateways.
 * @param fleet The fleet.
 * @param random Source of randomness. */
export async function sendCrashingPart(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const number = random.integer(1, 1_000_000);
  const name = `crashing-part-${number}`;
  const caller = SoakCaller.create(name, fleet, random, true);
  for (let count = 0; count < SEND_COUNT; count++) {
    await caller.sendWithPart(`${CRASHING_PART_PREFIX}${number}`);
    await delay(random.integer(...PAUSE_RANGE_MS));
  }
  await caller.close();
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

/** Finds crashing parts whose prompts reached too many workers after they had crashed five.
 * @param evidence What callers, workers and the store saw. */
export function checkCrashingParts({ runs }: Evidence): string[] {
  const timesByPart = new Map<string, number[]>();
  for (const { prompt, startedAt } of runs) {
    const part = findCrashingPart(prompt);
    if (!part) continue;
    timesByPart.set(part, [...timesByPart.get(part) ?? [], startedAt]);
  }
  return [...timesByPart].flatMap(([part, times]) => {
    const sorted = times.toSorted((a, b) => a - b);
    const knownAt = sorted[KNOWN_PART_CRASHES - 1] ?? Infinity;
    const late = sorted.filter((at) => at > knownAt + DETECTION_MS);
    return late.length > MAX_LATE_RUNS
      ? [`part ${part} reached ${late.length} workers after five had crashed`]
      : [];
  });
}

function findCrashingPart(prompt: string): string | undefined {
  return CRASHING_PART_PATTERN.exec(prompt)?.[0];
}

/** Summary of the crashing requests of a run. */
export interface CrashSummary {
  /** Number of distinct crashing requests. */
  requests: number;
  /** Number of distinct crashing parts of prompts. */
  parts: number;
  /** Number of workers that they and the prompts with these parts crashed. */
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
  const refused = attempts.filter(({ text }) =>
    REFUSALS.some((kind) => text.includes(`"kind":"${kind}"`))
  );
  const parts = attempts.flatMap(({ prompt }) =>
    findCrashingPart(prompt) ?? []
  );
  return {
    requests: new Set(attempts.filter(isCrashing).map(({ path }) => path)).size,
    parts: new Set(parts).size,
    crashes: runs.filter(crashesWorkers).length,
    innocentRefused: refused.filter((attempt) => !crashesWorkers(attempt))
      .length,
  };
}
