import test from "ava";
import { AttemptBudget } from "../../src/forward/attempt_budget.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { buildRoute } from "../published/build_published.ts";

/** Creates the budget of a call whose service has the given number of retries left. */
function createBudget(retries: number) {
  const call = { route: buildRoute(), service: "s" } as RoutedCall;
  let remaining = retries;
  const budget = AttemptBudget.create(call, () => {
    remaining -= 1;
    return remaining >= 0;
  });
  return { budget, getRemaining: () => remaining };
}

test("a retry after an attempt that reached no upstream takes nothing from the service's budget", (t) => {
  const { budget, getRemaining } = createBudget(0);
  budget.recordNotRun();
  t.true(budget.allowsRetryAfterUnsent());
  t.is(getRemaining(), 0);
});

test("attempts that reach no upstream are retried three times", (t) => {
  const { budget } = createBudget(0);
  let retries = 0;
  for (
    budget.recordNotRun();
    budget.allowsRetryAfterUnsent();
    budget.recordNotRun()
  ) {
    retries += 1;
  }
  t.is(retries, 3);
});

test("a retry after a declined attempt is taken from the service's budget", (t) => {
  const { budget } = createBudget(1);
  budget.recordNotRun();
  t.true(budget.spendRetryAfterNotRun());
  t.false(budget.spendRetryAfterNotRun());
});
