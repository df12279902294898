import type { ServerResponse } from "node:http";
import test from "ava";
import { call } from "./call.ts";
import { writeUnframed } from "./crashing_prompts.ts";
import { freezeProcess } from "../http/raw_caller.ts";
import { waitUntilServing } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "k";
/** Time after which the address of an upstream may belong to another, in milliseconds. */
const FREEZE_MS = 2_000;

// Guards against a response that a crash has cut short and that counts as complete, because the gateway was frozen and
// another upstream listens at the address when the gateway wakes.
test("a response without a length that ended while the gateway was frozen is not passed on as complete", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    fleet.publishConfiguration(1, [KEY], {
      route_kind: "non_idempotent",
      max_attempts: 1,
    });
    const gateway = await fleet.startGateway();
    await waitUntilServing(gateway);
    const begun = new Promise<ServerResponse>((resolve) =>
      worker.behaviour = (request, response, self) => {
        writeUnframed(response, self.buildSealHeaders(request), "half of a te");
        resolve(response);
      }
    );
    const received = call(gateway, KEY);
    const response = await begun;
    // The worker goes on listening, as another one at its address would.
    await freezeProcess(FREEZE_MS, () => response.socket!.destroy());
    t.is((await received).status, 502);
  });
});
