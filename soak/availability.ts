/** Workers that say in their answers whether they take requests: the faults, and the judges of what hosts make of it. */
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import { BOUNDS, LINGER_MS } from "./bounds.ts";
import type { Evidence } from "./evidence.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWorker } from "./soak_worker.ts";

/** Least and most time without requests that a worker asks for, in milliseconds; shorter than its trouble and longer. */
const BACKOFF_MS = [600, 3_000] as const;
/** Least and most time for which it turns requests away, in milliseconds. */
const TURNS_AWAY_MS = [500, 5_000] as const;
/** Time after an answer in which what was under way may still arrive, in milliseconds. */
const UNDER_WAY_MS = 500;
/** Requests that a host may send in the rest of a backoff. */
const ALLOWED = 2;

/** Some workers, at times all of a service, turn requests away and ask for a backoff. */
export async function turnAway(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const { service } = random.pick(fleet.workers);
  const share = random.pick([0.3, 0.6, 1]);
  const hit = fleet.workers.filter((worker) =>
    worker.service === service && random.fraction() < share
  );
  const backoffMs = random.integer(...BACKOFF_MS);
  for (const worker of hit) worker.backoffMs = backoffMs;
  const window = fleet.faults.begin("turned away", [service], true);
  await delay(random.integer(...TURNS_AWAY_MS));
  for (const worker of hit) worker.backoffMs = undefined;
  fleet.faults.end(window);
}

/** A worker is replaced and says so in its answers only; its entry stays until it ends. */
export async function leaveByAnswers(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!mayGo(fleet, worker)) return;
  fleet.forgetWorker(worker);
  await fleet.addWorker(worker.service);
  worker.saysLeaving = true;
  await delay(BOUNDS.leaveWithinMs + LINGER_MS);
  const window = fleet.faults.begin("end", [worker.id]);
  fleet.store.remove(`servers/${worker.id}`);
  await worker.close();
  fleet.faults.end(window);
}

/** Whether a worker may go, so that two of its service are left.
 * @param fleet The fleet.
 * @param worker The worker. */
export function mayGo(fleet: SoakFleet, worker: SoakWorker): boolean {
  const { service } = worker;
  return fleet.workers.filter((one) => one.service === service).length > 2;
}

/** Finds hosts that sent a worker more than allowed in the time for which it had asked for nothing.
 * @param evidence What was seen. */
export function judgeBackoffs(evidence: Evidence): string[] {
  const { declines, runs, faults, lagMs } = evidence;
  const gatewayOf = groupGateways(evidence);
  const arrivals = [
    ...runs.map(({ requestId, worker, startedAt }) => ({
      requestId,
      worker,
      at: startedAt,
    })),
    ...declines,
  ];
  return declines.flatMap(({ requestId, worker, at, backoffMs = 0 }) => {
    const gateway = gatewayOf.get(requestId);
    const from = at + UNDER_WAY_MS + lagMs;
    const to = at + backoffMs;
    if (gateway === undefined || from > to) return [];
    // What is cut or delayed on the way may never have been heard, or may come late.
    if (faults.wasHit(gateway, at, to) || faults.wasHit(worker, at, to)) {
      return [];
    }
    const count = arrivals.filter((arrival) =>
      arrival.worker === worker && arrival.at > from && arrival.at < to &&
      gatewayOf.get(arrival.requestId) === gateway
    ).length;
    return count > ALLOWED
      ? [
        `${requestId} was turned away by ${worker}, and ${gateway} sent ${count} in the ${backoffMs} ms that it had asked for`,
      ]
      : [];
  });
}

/** Finds requests that reached a worker from a host too late after that host had passed on that it leaves.
 * @param evidence What was seen. */
export function judgeLeavingAnswers(evidence: Evidence): string[] {
  const { attempts, runs, faults, lagMs } = evidence;
  const byId = new Map(attempts.map((one) => [one.requestId, one]));
  /** By gateway, its start and worker, when a caller there had the first whole answer that said so. */
  const toldAt = new Map<string, number>();
  for (const { requestId, worker, saidLeaving } of runs) {
    const attempt = byId.get(requestId);
    if (!saidLeaving || !attempt?.isWhole) continue;
    const name = `${attempt.gateway} ${attempt.life} ${worker}`;
    const endedAt = attempt.endedAt ?? Infinity;
    toldAt.set(name, Math.min(endedAt, toldAt.get(name) ?? Infinity));
  }
  return runs.flatMap(({ requestId, worker, startedAt }) => {
    const attempt = byId.get(requestId);
    if (!attempt) return [];
    const { gateway, life, sentAt } = attempt;
    const at = toldAt.get(`${gateway} ${life} ${worker}`) ?? Infinity;
    const isLate = sentAt > at + BOUNDS.leaveWithinMs + lagMs;
    return isLate && !faults.wasHit(gateway, at, startedAt)
      ? [`${requestId} reached ${worker} from ${gateway}, which knew it leaves`]
      : [];
  });
}

function groupGateways({ attempts }: Evidence): Map<string, string> {
  return new Map(attempts.map((one) => [one.requestId, one.gateway]));
}
