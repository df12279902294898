import test from "ava";
import { endsBeforeStop } from "../../src/admission/stop_time.ts";

/** Time that is left of a stop, in milliseconds. */
const REMAINING_MS = 1_000;

test("a request whose deadline or usual duration ends before the stop fits, a longer one does not", (t) => {
  const fits = (longMs: number | undefined, deadlineMs: number) =>
    endsBeforeStop({ longMs, deadlineMs }, REMAINING_MS);
  t.true(fits(undefined, 1_000));
  t.true(fits(5_000, 1_000));
  t.true(fits(1_000, 5_000));
  t.false(fits(1_001, 5_000));
  t.is(fits(undefined, 5_000), undefined);
});
