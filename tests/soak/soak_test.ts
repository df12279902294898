import test from "ava";
import { REGRESSION_SEEDS } from "../../soak/regression_seeds.ts";
import { runSeed } from "../../soak/run_seed.ts";

/** The short run that is no regression. */
const SHORT_RUN = { seed: 1, seconds: 8, cause: "none; the short run of CI" };

for (const { seed, seconds, cause } of [SHORT_RUN, ...REGRESSION_SEEDS]) {
  test.serial(`seed ${seed} keeps all promises about answers (${cause})`, async (t) => {
    const result = await runSeed({
      seed,
      faultsMs: seconds * 1_000,
      judgesTimes: false,
      size: 1,
      faults: [],
    });
    const evidence = JSON.stringify(result.evidence);
    t.deepEqual(result.breaches, [], evidence);
    t.true(result.attempts > 0);
  });
}
