/** Guards against hosts that lost their paths by resets, reported crashes of all upstreams that had not happened, and
 * had the requests under way held at every host. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { respondSuccessfully } from "../../fakes/fake_worker.ts";
import { call } from "./call.ts";
import {
  KEY,
  type PartitionedFleet,
  withPartitionedFleet,
} from "./partitioned_fleet.ts";

/** Time that a worker takes for a request, in milliseconds. */
const WORK_MS = 300;
/** Body of the requests that are under way when the paths are lost. */
const BODY = "a body";
const GATEWAYS = 4;

/** Loses all paths of some gateways while they have requests with the same body under way, and restores them. */
async function loseAndRestorePaths(
  { gateways, partitions }: PartitionedFleet,
  partitioned: number,
): Promise<void> {
  const calls = gateways.slice(0, partitioned).flatMap((gateway) =>
    [1, 2, 3].map(() => call(gateway, KEY, { body: BODY }))
  );
  await delay(WORK_MS / 2);
  const lost = partitions.slice(0, partitioned);
  await Promise.all(lost.map((partition) => partition.start("reset")));
  await Promise.all(calls);
  await Promise.all(lost.map((partition) => partition.end()));
}

for (const partitioned of [1, GATEWAYS - 1, GATEWAYS]) {
  test.serial(`requests under way at ${partitioned} of ${GATEWAYS} hosts that lose their paths by resets are not held`, async (t) => {
    const options = {
      gateways: GATEWAYS,
      workers: 3,
      behaviour: (...work: Parameters<typeof respondSuccessfully>) =>
        void setTimeout(() => respondSuccessfully(...work), WORK_MS),
    };
    await withPartitionedFleet(options, async (fleet) => {
      await loseAndRestorePaths(fleet, partitioned);
      await loseAndRestorePaths(fleet, partitioned);
      for (const gateway of fleet.gateways) {
        const { headers } = await call(gateway, KEY, { body: BODY });
        t.not(headers["x-beechkeel-error"], "crashes_upstreams");
      }
    });
  });
}
