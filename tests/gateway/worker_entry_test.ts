import test from "ava";
import { answerWell } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import { waitForStatus, waitUntilServing } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Calls that all miss one of two workers by chance once in 2^40 times. */
const CALLS = 40;

test("a request on a worker that has started again under its id goes elsewhere at once", async (t) => {
  await withGateways(async (fleet) => {
    const [restarted, other] = [
      await fleet.startWorker("s"),
      await fleet.startWorker("s"),
    ];
    restarted.behaviour = () => undefined;
    const route = { timeout_ms: 60_000, slo_ms: 60_000 };
    fleet.publishConfiguration(1, [KEY], route);
    const gateway = await fleet.startGateway();
    await waitUntilServing(gateway);
    const answers = Array.from({ length: 4 }, () => call(gateway, KEY));
    await waitUntil("one is taken", () => restarted.arrivals.length > 0);
    restarted.behaviour = answerWell;
    restarted.startedAt += 1_000;
    fleet.publishWorker(restarted, "s", "ready");
    for (const answer of answers) t.is((await answer).status, 200);
    t.true(other.arrivals.length > 0);
  });
});

test("an entry that another writer spoiled names no worker any more, and the others stay", async (t) => {
  await withGateways(async (fleet) => {
    const [spoiled, sound] = [
      await fleet.startWorker("s"),
      await fleet.startWorker("s"),
    ];
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    fleet.store.putText(`servers/${spoiled.id}`, "\u0000 no entry");
    await waitUntil("only the other is used", async () => {
      const before = spoiled.arrivals.length;
      for (let index = 0; index < CALLS; index++) {
        t.is((await call(gateway, KEY)).status, 200);
      }
      return spoiled.arrivals.length === before;
    });
    t.true(sound.arrivals.length >= CALLS);
  });
});
