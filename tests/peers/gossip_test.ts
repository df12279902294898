import test from "ava";
import { VirtualFleet } from "./virtual_fleet.ts";

/** Time within which the hosts of a fleet start, in milliseconds. */
const START_WINDOW_MS = 3_000;
/** Time from the first start within which all hosts must know each other, in milliseconds; callers come after it. */
const CONVERGENCE_MS = 12_000;
/** Time for which a converged fleet is observed, in milliseconds. */
const OBSERVATION_MS = 20_000;
/** Interval at which the live hosts of each host are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Time within which no host considers a stopped host live any more, in milliseconds. */
const REMOVAL_MS = 3_000;

const SIZES = [2, 6, 13, 14, 18, 24, 48];
const SEEDS = [1, 2, 3];

function startFleet(seed: number, size: number): VirtualFleet {
  return VirtualFleet.create({
    seed,
    size,
    loss: 0,
    startWithinMs: START_WINDOW_MS,
  });
}

for (const size of SIZES) {
  // Guards against flapping: in a fleet of 24, hosts repeatedly went missing from the addresses of others, 14 % of them
  // at any moment.
  test(`${size} hosts know each other before callers come, and stay live for each other`, (t) => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, size);
      const endsAt = CONVERGENCE_MS + OBSERVATION_MS;
      for (let at = CONVERGENCE_MS; at <= endsAt; at += CHECK_INTERVAL_MS) {
        fleet.timeline.runUntil(at);
        t.deepEqual(fleet.findMissing(), [], `seed ${seed} at ${at} ms`);
      }
    }
  });

  test(`a stopped host of ${size} is soon live for no other host`, (t) => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, size);
      fleet.timeline.runUntil(CONVERGENCE_MS);
      fleet.stopHost(size - 1);
      fleet.timeline.runUntil(CONVERGENCE_MS + REMOVAL_MS);
      t.false(fleet.getLiveIds().has(`g-${size - 1}`), `seed ${seed}`);
    }
  });
}
