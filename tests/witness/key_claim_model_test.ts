import fc from "fast-check";
import test from "ava";
import type { KeyRecord } from "../../src/witness/key_record.ts";
import { KeyRecordStore } from "../../src/witness/key_record_store.ts";
import { countVotes } from "../../src/witness/vote_count.ts";

const KEY = "customer/key";
const WITNESS_COUNT = 3;

/** One step of the model: an attempt requests the vote of a witness, or a witness restarts without its records. */
type Step = { attempt: number; witness: number } | { restarted: number };

function getPermutations(steps: readonly Step[]): Step[][] {
  if (steps.length <= 1) return [[...steps]];
  return steps.flatMap((step, index) => {
    const rest = [...steps.slice(0, index), ...steps.slice(index + 1)];
    return getPermutations(rest).map((permutation) => [step, ...permutation]);
  });
}

/** Simulates the steps and returns the attempts that may run. */
function simulate(steps: readonly Step[]): string[] {
  const stores = Array.from(
    { length: WITNESS_COUNT },
    () => KeyRecordStore.create(1_000),
  );
  const settled = Array.from({ length: WITNESS_COUNT }, () => true);
  const votes = new Map<string, Map<number, ReturnType<typeof toVote>>>();
  for (const step of steps) {
    if ("restarted" in step) {
      stores[step.restarted] = KeyRecordStore.create(1_000);
      settled[step.restarted] = false;
      continue;
    }
    const attempt = `attempt-${step.attempt}`;
    const record = { attempt, holder: attempt, fingerprint: "f" };
    const recorded = stores[step.witness]!.compareAndSet(KEY, record, "", 0);
    const attemptVotes = votes.get(attempt) ?? new Map();
    votes.set(
      attempt,
      attemptVotes.set(step.witness, toVote(recorded, settled[step.witness]!)),
    );
  }
  return [...votes].filter(([attempt, attemptVotes]) =>
    countVotes(attempt, WITNESS_COUNT, [...attemptVotes.values()], false)
      .type ===
      "claimed"
  )
    .map(([attempt]) => attempt);
}

function toVote(record: KeyRecord, settled: boolean) {
  return { type: "voted" as const, exchange: 0, settled, ...record };
}

test("at most one of two attempts may run, for every order of vote requests and a restart of any witness", (t) => {
  const voteRequests: Step[] = [0, 1].flatMap((attempt) =>
    [0, 1, 2].map((witness) => ({ attempt, witness }))
  );
  let simulated = 0;
  for (const order of getPermutations(voteRequests)) {
    t.true(simulate(order).length <= 1);
    simulated += 1;
  }
  for (const restarted of [0, 1, 2]) {
    for (const order of getPermutations([...voteRequests, { restarted }])) {
      if (simulate(order).length > 1) t.fail(JSON.stringify(order));
      simulated += 1;
    }
  }
  t.is(simulated, 720 + 3 * 5_040);
});

test("at most one of up to five attempts may run when each requests any votes in any order, also repeatedly", (t) => {
  const step = fc.record({
    attempt: fc.integer({ min: 0, max: 4 }),
    witness: fc.integer({ min: 0, max: 2 }),
  });
  const atMostOneMayRun = fc.property(
    fc.array(step, { maxLength: 40 }),
    (steps) => simulate(steps).length <= 1,
  );
  t.notThrows(() => fc.assert(atMostOneMayRun, { seed: 4, numRuns: 2_000 }));
});
