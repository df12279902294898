import test from "ava";
import { AttemptBudget } from "../../src/forward/attempt_budget.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { buildRoute } from "../published/build_published.ts";

/** A budget of a call whose service has some retries left. */
function createBudget(retries: number) {
  const call = { route: buildRoute(), service: "s" } as RoutedCall;
  let left = retries;
  const budget = AttemptBudget.create(call, () => {
    left -= 1;
    return left >= 0;
  });
  return { budget, getLeft: () => left };
}

test("an attempt that reached no upstream is repeated from no budget, for the next is the first to arrive", (t) => {
  const { budget, getLeft } = createBudget(0);
  budget.recordNotRun();
  t.true(budget.allowsRetryAfterUnsent());
  t.is(getLeft(), 0);
});

test("attempts that reach no upstream are repeated a few times", (t) => {
  const { budget } = createBudget(0);
  let repeats = 0;
  for (
    budget.recordNotRun();
    budget.allowsRetryAfterUnsent();
    budget.recordNotRun()
  ) {
    repeats += 1;
  }
  t.is(repeats, 3);
});

test("an attempt that an upstream declined is repeated from the service's budget", (t) => {
  const { budget } = createBudget(1);
  budget.recordNotRun();
  t.true(budget.spendRetryAfterNotRun());
  t.false(budget.spendRetryAfterNotRun());
});
