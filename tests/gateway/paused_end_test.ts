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

/** Lets a response without a length end while the gateway is frozen; returns the status that the caller gets.
 * @param answeringId Id of the worker that listens at the address afterwards; the same by default. */
async function endDuringFreeze(answeringId?: string): Promise<number> {
  let status = 0;
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
        writeUnframed(response, self.buildSealHeaders(request), "a text");
        resolve(response);
      }
    );
    const received = call(gateway, KEY);
    const response = await begun;
    if (answeringId !== undefined) worker.answeringId = answeringId;
    await freezeProcess(FREEZE_MS, () => response.socket!.destroy());
    ({ status } = await received);
  });
  return status;
}

// Guards against a response that a crash has cut short and that counts as complete, because the gateway was frozen and
// another upstream listens at the address when the gateway wakes.
test.serial("a response without a length that ended while the gateway was frozen is not passed on as complete if another upstream has the address", async (t) => {
  t.is(await endDuringFreeze("w-other"), 502);
});

test.serial("a response without a length that ended while the gateway was frozen is complete if its upstream still runs", async (t) => {
  t.is(await endDuringFreeze(), 200);
});
