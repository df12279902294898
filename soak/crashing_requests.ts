import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import type { CallerAttempt, RequestKind } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import { SoakCaller } from "./soak_caller.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWorker } from "./soak_worker.ts";

/** Begins the last part of the path of a request that crashes each worker which begins it. */
const CRASHING_NAME = "crash-";
/** Kinds of request that may crash workers. */
const KINDS: readonly RequestKind[] = ["look", "book", "chat", "talk"];
/** Tries of one such request; together they last beyond the bound on what may come after its third crash. */
const TRIES = 24;
/** Least and most pause between two tries, in milliseconds. */
const PAUSE_MS = [80, 500] as const;
/** Least and most time for which a worker that crashed is gone, in milliseconds. */
const GONE_MS = [300, 1_500] as const;
/** Time after which the entry of a worker that crashed goes, in milliseconds: three heartbeats. */
export const ENTRY_LAPSES_MS = 1_200;
/** Time after the third crash from which a request may reach few more workers, in milliseconds. */
const HEARD_WITHIN_MS = 3_000;
/** Times that it may reach a worker after that. */
const LATE_TRIES = 3;

/** Whether a path is that of a request which crashes workers.
 * @param path The path. */
export function isCrashingPath(path: string): boolean {
  return path.includes(`/${CRASHING_NAME}`);
}

/** A caller sends one request that crashes workers again and again, at any gateway and each time under another id.
 * @param fleet The fleet.
 * @param random Source of the request and its pauses. */
export async function sendCrashingRequest(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const number = random.integer(1, 1_000_000);
  const caller = SoakCaller.create(`crashing-${number}`, fleet, random, true);
  const kind = random.pick(KINDS);
  for (let count = 0; count < TRIES; count++) {
    await caller.sendAs(kind, `${CRASHING_NAME}${number}`);
    await delay(random.integer(...PAUSE_MS));
  }
  await caller.close();
}

/** Crashes a worker, and lets another start at its address after a while.
 * @param fleet The fleet.
 * @param worker The worker.
 * @param random Source of the time for which it is gone. */
export async function crashForAWhile(
  fleet: SoakFleet,
  worker: SoakWorker,
  random: Random,
): Promise<void> {
  if (!fleet.workers.includes(worker)) return;
  const window = fleet.faults.begin("crashed by a request", [worker.id]);
  fleet.forgetWorker(worker);
  await worker.crash();
  await worker.proxy.stopListening();
  const lapsing = delay(ENTRY_LAPSES_MS).then(() =>
    fleet.store.remove(`servers/${worker.id}`)
  );
  await delay(random.integer(...GONE_MS));
  await fleet.addWorker(worker.service, worker.proxy);
  await worker.proxy.resumeListening();
  await lapsing;
  fleet.faults.end(window);
}

/** Finds requests that reached too many workers after three had ended under them.
 * @param evidence What was seen. */
export function judgeCrashingRequests({ runs }: Evidence): string[] {
  const crashing = runs.filter((run) => isCrashingPath(run.path));
  const paths = [...new Set(crashing.map((run) => run.path))];
  return paths.flatMap((path) => {
    const times = crashing.filter((run) => run.path === path)
      .map((run) => run.startedAt).sort((a, b) => a - b);
    const third = times[2] ?? Infinity;
    const late = times.filter((at) => at > third + HEARD_WITHIN_MS);
    return late.length > LATE_TRIES
      ? [`${path} reached ${late.length} workers after three had ended`]
      : [];
  });
}

/** What crashing requests did, for the summary of a run. */
export interface CrashSummary {
  /** Requests that crash workers. */
  requests: number;
  /** Workers that they crashed. */
  crashes: number;
  /** Tries of other requests that were refused as if they crashed workers. */
  innocentRefused: number;
}

/** Counts what crashing requests did.
 * @param attempts What callers saw.
 * @param runs What workers ran. */
export function summarizeCrashes(
  attempts: readonly CallerAttempt[],
  runs: Evidence["runs"],
): CrashSummary {
  const isCrashing = ({ path }: { path: string }) => isCrashingPath(path);
  const held = attempts.filter((attempt) =>
    attempt.text.includes('"kind":"crashes_upstreams"')
  );
  return {
    requests: new Set(attempts.filter(isCrashing).map(({ path }) => path)).size,
    crashes: runs.filter(isCrashing).length,
    innocentRefused: held.filter((attempt) => !isCrashing(attempt)).length,
  };
}
