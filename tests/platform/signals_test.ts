import test from "ava";
import { Random } from "../../src/random/random.ts";
import type { CallerAttempt } from "../../soak/caller_attempt.ts";
import { SoakCaller } from "../../soak/soak_caller.ts";
import { SoakFleet } from "../../soak/soak_fleet.ts";
import { waitUntil } from "../system/with_fleet.ts";

const SEED = 7;

/** Runs a test body while a stream from one engine passes through one gateway. */
async function withStream(
  body: (fleet: SoakFleet) => Promise<void>,
): Promise<CallerAttempt> {
  const fleet = await SoakFleet.create({
    seed: SEED,
    gateways: 1,
    engines: 1,
    plain: 0,
  });
  try {
    const random = Random.create(SEED);
    const caller = SoakCaller.create("c", fleet, random, false);
    const sending = caller.sendToEnd("talk");
    await waitUntil("the stream is in progress", () => fleet.runs.length === 1);
    await body(fleet);
    await sending;
    return fleet.attempts[0]!;
  } finally {
    await fleet.close();
  }
}

test.serial("a second SIGTERM during a graceful stop does not interrupt a stream", async (t) => {
  const attempt = await withStream(async (fleet) => {
    const { program } = fleet.gateways[0]!;
    program.signal("SIGTERM");
    await waitUntil(
      "the graceful stop has started",
      () => program.logLines.some((line) => line.includes("stop_started")),
    );
    program.signal("SIGTERM");
    t.is(await program.waitForExit(), 0);
  });
  t.true(attempt.isWhole);
});

test.serial("a change of the settings during a graceful stop does not interrupt a stream", async (t) => {
  const attempt = await withStream(async (fleet) => {
    const { program } = fleet.gateways[0]!;
    program.signal("SIGTERM");
    fleet.gateways[0]!.rewriteSettings([]);
    program.signal("SIGHUP");
    t.is(await program.waitForExit(), 0);
  });
  t.true(attempt.isWhole);
});
