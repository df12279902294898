/** Workers that announce their availability in responses: the faults, and the checks of how hosts react to them. */
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import { BOUNDS, WORKER_DRAIN_MS } from "./bounds.ts";
import type { Evidence } from "./evidence.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWorker } from "./soak_worker.ts";

/** Range of the backoff that a worker asks for, in milliseconds; it may be shorter or longer than the time for which
 * the worker declines requests. */
const BACKOFF_RANGE_MS = [600, 3_000] as const;
/** Range of the time for which a worker declines requests, in milliseconds. */
const DECLINE_RANGE_MS = [500, 5_000] as const;
/** Time after a response in which requests that were already in flight may still arrive, in milliseconds. */
const IN_FLIGHT_MS = 500;
/** Most requests that a host may send to a worker in the rest of its backoff. */
const MAX_REQUESTS_IN_BACKOFF = 2;

/** Makes some workers of a service, or all of them, decline requests and ask for a backoff. */
export async function turnAway(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const { service } = random.pick(fleet.workers);
  const share = random.pick([0.3, 0.6, 1]);
  const affected = fleet.workers.filter((worker) =>
    worker.service === service && random.fraction() < share
  );
  const backoffMs = random.integer(...BACKOFF_RANGE_MS);
  for (const worker of affected) worker.backoffMs = backoffMs;
  const window = fleet.faults.begin("turned away", [service], true);
  await delay(random.integer(...DECLINE_RANGE_MS));
  for (const worker of affected) worker.backoffMs = undefined;
  fleet.faults.end(window);
}

/** Replaces a worker that announces this in its responses only: its entry stays until it stops. */
export async function leaveByAnswers(
  fleet: SoakFleet,
  random: Random,
): Promise<void> {
  const worker = random.pick(fleet.workers);
  if (!isRemovable(fleet, worker)) return;
  fleet.excludeFromFaults(worker);
  await fleet.addWorker(worker.service);
  worker.announcesLeaving = true;
  await delay(BOUNDS.leaveWithinMs + WORKER_DRAIN_MS);
  const window = fleet.faults.begin("end", [worker.id]);
  fleet.store.remove(`servers/${worker.id}`);
  await worker.close();
  fleet.faults.end(window);
}

/** Whether a worker can be removed so that at least two of its service are left.
 * @param fleet The fleet.
 * @param worker The worker. */
export function isRemovable(fleet: SoakFleet, worker: SoakWorker): boolean {
  const { service } = worker;
  return fleet.workers.filter((other) => other.service === service).length > 2;
}

/** Finds hosts that sent a worker too many requests during the backoff that it had asked for.
 * @param evidence What callers, workers and the store saw. */
export function checkBackoffs(evidence: Evidence): string[] {
  const { declines, runs, faults, lagMs } = evidence;
  const gatewayById = mapGatewaysById(evidence);
  const arrivals = [
    ...runs.map(({ requestId, worker, startedAt }) => ({
      requestId,
      worker,
      at: startedAt,
    })),
    ...declines,
  ];
  return declines.flatMap(({ requestId, worker, at, backoffMs = 0 }) => {
    const gateway = gatewayById.get(requestId);
    const from = at + IN_FLIGHT_MS + lagMs;
    const to = at + backoffMs;
    if (gateway === undefined || from > to) return [];
    // A connection that was cut or delayed may have lost the response, or delivered it late.
    if (
      faults.wasAffected(gateway, at, to) || faults.wasAffected(worker, at, to)
    ) {
      return [];
    }
    const count = arrivals.filter((arrival) =>
      arrival.worker === worker && arrival.at > from && arrival.at < to &&
      gatewayById.get(arrival.requestId) === gateway
    ).length;
    return count > MAX_REQUESTS_IN_BACKOFF
      ? [
        `${requestId} was declined by ${worker}, and ${gateway} sent ${count} in the ${backoffMs} ms that it had asked for`,
      ]
      : [];
  });
}

/** Finds requests that a host sent to a worker too long after it had forwarded a response announcing that the worker
 * leaves.
 * @param evidence What callers, workers and the store saw. */
export function checkLeavingResponses(evidence: Evidence): string[] {
  const { attempts, runs, faults, lagMs } = evidence;
  const byId = new Map(attempts.map((attempt) => [attempt.requestId, attempt]));
  /** Time of the first complete response with the announcement, by gateway, start of the gateway, and worker. */
  const announcedAt = new Map<string, number>();
  for (const { requestId, worker, saidLeaving: announcedLeaving } of runs) {
    const attempt = byId.get(requestId);
    if (!announcedLeaving || !attempt?.isWhole) continue;
    const key = `${attempt.gateway} ${attempt.life} ${worker}`;
    const endedAt = attempt.endedAt ?? Infinity;
    announcedAt.set(key, Math.min(endedAt, announcedAt.get(key) ?? Infinity));
  }
  return runs.flatMap(({ requestId, worker, startedAt }) => {
    const attempt = byId.get(requestId);
    if (!attempt) return [];
    const { gateway, life: gatewayStart, sentAt } = attempt;
    const at = announcedAt.get(`${gateway} ${gatewayStart} ${worker}`) ??
      Infinity;
    const isLate = sentAt > at + BOUNDS.leaveWithinMs + lagMs;
    return isLate && !faults.wasAffected(gateway, at, startedAt)
      ? [
        `${requestId} reached ${worker} from ${gateway}, which had forwarded that the worker leaves`,
      ]
      : [];
  });
}

function mapGatewaysById({ attempts }: Evidence): Map<string, string> {
  return new Map(
    attempts.map((attempt) => [attempt.requestId, attempt.gateway]),
  );
}
