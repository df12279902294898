import fc from "fast-check";
import test from "ava";
import type { KeyRecord } from "../../src/witness/key_record.ts";
import { KeyRegister } from "../../src/witness/key_register.ts";
import { countVotes } from "../../src/witness/vote_count.ts";

const KEY = "customer/key";
const WITNESSES = 3;

/** One step of two attempts that ask three witnesses: which attempt asks which witness, or a witness that is lost. */
type Step = { attempt: number; witness: number } | { lost: number };

function allOrders(steps: readonly Step[]): Step[][] {
  if (steps.length <= 1) return [[...steps]];
  return steps.flatMap((step, index) => {
    const rest = [...steps.slice(0, index), ...steps.slice(index + 1)];
    return allOrders(rest).map((order) => [step, ...order]);
  });
}

/** Plays steps and returns the attempts that may run. */
function play(steps: readonly Step[]): string[] {
  const registers = Array.from(
    { length: WITNESSES },
    () => KeyRegister.create(1_000),
  );
  const settled = Array.from({ length: WITNESSES }, () => true);
  const votes = new Map<string, Map<number, ReturnType<typeof toVote>>>();
  for (const step of steps) {
    if ("lost" in step) {
      registers[step.lost] = KeyRegister.create(1_000);
      settled[step.lost] = false;
      continue;
    }
    const attempt = `attempt-${step.attempt}`;
    const record = { attempt, holder: attempt, fingerprint: "f" };
    const recorded = registers[step.witness]!.testAndSet(KEY, record, "", 0);
    const given = votes.get(attempt) ?? new Map();
    votes.set(
      attempt,
      given.set(step.witness, toVote(recorded, settled[step.witness]!)),
    );
  }
  return [...votes].filter(([attempt, given]) =>
    countVotes(attempt, WITNESSES, [...given.values()], false).type ===
      "claimed"
  )
    .map(([attempt]) => attempt);
}

function toVote(record: KeyRecord, settled: boolean) {
  return { type: "voted" as const, exchange: 0, settled, ...record };
}

test("over all orders of two attempts' questions, and any lost witness at any moment, at most one may run", (t) => {
  const questions: Step[] = [0, 1].flatMap((attempt) =>
    [0, 1, 2].map((witness) => ({ attempt, witness }))
  );
  let played = 0;
  for (const order of allOrders(questions)) {
    t.true(play(order).length <= 1);
    played += 1;
  }
  for (const lost of [0, 1, 2]) {
    for (const order of allOrders([...questions, { lost }])) {
      if (play(order).length > 1) t.fail(JSON.stringify(order));
      played += 1;
    }
  }
  t.is(played, 720 + 3 * 5_040);
});

test("with any number of attempts, unanswered questions and lost answers, at most one may run", (t) => {
  const step = fc.record({
    attempt: fc.integer({ min: 0, max: 4 }),
    witness: fc.integer({ min: 0, max: 2 }),
  });
  const isSound = fc.property(
    fc.array(step, { maxLength: 40 }),
    (steps) => play(steps).length <= 1,
  );
  t.notThrows(() => fc.assert(isSound, { seed: 4, numRuns: 2_000 }));
});
