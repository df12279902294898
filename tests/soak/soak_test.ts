import test from "ava";
import {
  AVAILABILITY_FAULTS,
  INITIAL_FAULTS,
  REGRESSION_SEEDS,
  type RegressionSeed,
} from "../../soak/regression_seeds.ts";
import { runSeed } from "../../soak/run_seed.ts";

/** Short runs that are not regression tests. */
const SHORT_RUNS: readonly RegressionSeed[] = [
  {
    seed: 1,
    seconds: 8,
    faults: INITIAL_FAULTS,
    cause: "none; the short run of CI",
  },
  {
    seed: 2,
    seconds: 4,
    faults: ["sendCrashingRequest", "killGateway"],
    cause: "none; requests that crash workers, together with killed gateways",
  },
  {
    seed: 5601,
    seconds: 9,
    faults: ["sendCrashingPart", "killGateway", "crashWorker"],
    cause: "none; prompts with a part that crashes workers",
  },
  {
    seed: 3,
    seconds: 6,
    faults: AVAILABILITY_FAULTS,
    cause: "none; workers that announce their availability",
  },
  {
    seed: 4,
    seconds: 6,
    faults: ["cutFromWorkers", "stopInTurn", "killGateway"],
    cause: "none; gateways without a path to any worker, stopped and killed",
  },
  {
    seed: 5301,
    seconds: 8,
    faults: [
      "killGateway",
      "killManyGateways",
      "restartWorker",
      "replaceWorker",
      "misbehaveWorker",
      "cutWorker",
    ],
    cause: "none; streams that break while workers of two versions serve",
  },
];

for (
  const { seed, seconds, faults, cause } of [...SHORT_RUNS, ...REGRESSION_SEEDS]
) {
  test.serial(`seed ${seed} keeps all promises about answers (${cause})`, async (t) => {
    const result = await runSeed({
      seed,
      faultsMs: seconds * 1_000,
      checksTiming: false,
      size: 1,
      faults,
    });
    const evidence = JSON.stringify(result.evidence);
    t.deepEqual(result.breaches, [], evidence);
    t.true(result.attempts > 0);
  });
}
