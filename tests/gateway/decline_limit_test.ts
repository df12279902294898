/** Guards against sending upstreams that fail if they decline too many requests more than they have room for. */
import test from "ava";
import { respondSuccessfully } from "../../fakes/fake_worker.ts";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { SLOTS, withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Requests per second that the worker states to bear declining. */
const DECLINE_LIMIT = 2;
/** Time that the worker takes for a request, in milliseconds. */
const WORK_MS = 200;
const CALLS = 40;

test("a burst at a host does not exceed the worker's slots and half of the declines that it bears", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    let running = 0;
    let mostRunning = 0;
    worker.behaviour = (request, response, self) => {
      running += 1;
      mostRunning = Math.max(mostRunning, running);
      response.setHeader("Server-Brittle", String(DECLINE_LIMIT));
      setTimeout(() => {
        running -= 1;
        respondSuccessfully(request, response, self);
      }, WORK_MS);
    };
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    const results = await Promise.all(
      Array.from({ length: CALLS }, () => call(gateway, KEY)),
    );
    const refused = results.filter(({ status }) => status === 503);
    t.true(mostRunning <= SLOTS + DECLINE_LIMIT / 2, `${mostRunning} at once`);
    t.true(results.some(({ status }) => status === 200));
    t.true(refused.every(({ headers }) => headers["retry-after"]));
    t.true(refused.length > 0);
  });
});
