/** Guards against treating upstreams that fall silent for about a second, and go on, as failed. */
import test from "ava";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import {
  type FakeWorker,
  respondSuccessfully,
} from "../../fakes/fake_worker.ts";
import { Random } from "../../src/random/random.ts";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { type GatewayFleet, withGateways } from "./with_gateways.ts";

const KEY = "key-1";
const WORKERS = 3;
const PAUSE_MS = 1_200;
/** Time between the end of a pause and the start of the next, in milliseconds. */
const INTERVAL_MS = 1_500;
const PAUSES = 3;
const REQUEST_INTERVAL_MS = 20;
/** Objective of the requests, in milliseconds, as of the shortest kinds. */
const OBJECTIVE_MS = 120;

/** A worker whose responses can be held back; its connections stay open and new ones are accepted. */
class PausableWorker {
  /** Times at which it received requests. */
  readonly receivedAt: number[] = [];
  private resumed: Promise<unknown> = Promise.resolve();

  private constructor(readonly worker: FakeWorker) {
    worker.behaviour = (...work) => {
      this.receivedAt.push(performance.now());
      void this.resumed.then(() => respondSuccessfully(...work));
    };
  }

  /** Makes a worker pausable.
   * @param worker The worker. */
  static create(worker: FakeWorker): PausableWorker {
    return new PausableWorker(worker);
  }

  /** Pauses the worker; resolves when it goes on. */
  async pause(): Promise<void> {
    this.resumed = delay(PAUSE_MS);
    await this.resumed;
  }

  /** Milliseconds until the first request after a time. */
  getGapAfter(time: number): number {
    const next = this.receivedAt.find((at) => at >= time);
    return next === undefined ? Infinity : next - time;
  }
}

async function startWorkers(fleet: GatewayFleet): Promise<PausableWorker[]> {
  return (await fleet.startWorkers("s", WORKERS)).map((worker) =>
    PausableWorker.create(worker)
  );
}

for (const routeKind of ["idempotent", "non_idempotent"]) {
  test(`upstreams that are silent for ${PAUSE_MS} ms get requests again within that time, and run nothing twice (${routeKind})`, async (t) => {
    await withGateways(async (fleet) => {
      const random = Random.create(46);
      const workers = await startWorkers(fleet);
      fleet.publishConfiguration(1, [KEY], {
        route_kind: routeKind,
        slo_ms: OBJECTIVE_MS,
      });
      const gateway = await fleet.startGateway();
      await waitForStatus(gateway, KEY, 200);
      const calls: Promise<{ status: number }>[] = [];
      const sender = setInterval(
        () => calls.push(call(gateway, KEY, { body: randomUUID() })),
        REQUEST_INTERVAL_MS,
      );
      const gapsMs: number[] = [];
      for (let index = 0; index < PAUSES; index++) {
        const paused = random.pick(workers);
        await paused.pause();
        const resumedAt = performance.now();
        await delay(INTERVAL_MS);
        gapsMs.push(paused.getGapAfter(resumedAt));
      }
      clearInterval(sender);
      const statuses = (await Promise.all(calls)).map(({ status }) => status);
      t.true(Math.max(...gapsMs) <= PAUSE_MS, `no requests for ${gapsMs} ms`);
      t.true(statuses.every((status) => status === 200));
      const bodies = workers.flatMap(({ worker }) =>
        worker.arrivals.map(({ body }) => body)
      );
      if (routeKind === "non_idempotent") {
        t.is(new Set(bodies).size, bodies.length);
      }
    });
  });
}
