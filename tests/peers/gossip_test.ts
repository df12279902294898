import test from "ava";
import { VirtualFleet } from "./virtual_fleet.ts";

/** Time within which the hosts of a fleet start, in milliseconds. */
const START_MS = 3_000;
/** Time from the first start after which callers come, in milliseconds. */
const TRAFFIC_MS = 12_000;
/** Time for which a settled fleet is watched, in milliseconds. */
const WATCHED_MS = 20_000;
/** Interval at which it is looked who names whom, in milliseconds. */
const LOOK_MS = 100;
/** Time after which a host that has ended is named by none, in milliseconds. */
const FORGOTTEN_MS = 3_000;

const SIZES = [2, 6, 13, 14, 18, 24, 48];
const SEEDS = [1, 2, 3];

function startFleet(seed: number, size: number): VirtualFleet {
  return VirtualFleet.create({
    seed,
    size,
    loss: 0,
    startWithinMs: START_MS,
  });
}

for (const size of SIZES) {
  // Hosts of a fleet of 24 went missing from the addresses of others again and again, 14 % of them at any moment.
  test(`${size} hosts name each other before callers come, and go on to`, (t) => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, size);
      const endsAt = TRAFFIC_MS + WATCHED_MS;
      for (let at = TRAFFIC_MS; at <= endsAt; at += LOOK_MS) {
        fleet.timeline.runUntil(at);
        t.deepEqual(fleet.findMissing(), [], `seed ${seed} at ${at} ms`);
      }
    }
  });

  test(`a host of ${size} that has ended is soon named by none`, (t) => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, size);
      fleet.timeline.runUntil(TRAFFIC_MS);
      fleet.stopHost(size - 1);
      fleet.timeline.runUntil(TRAFFIC_MS + FORGOTTEN_MS);
      t.false(fleet.getNamed().has(`g-${size - 1}`), `seed ${seed}`);
    }
  });
}
