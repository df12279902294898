import test from "ava";
import { readRetryAfter } from "../../src/http/read_retry_after.ts";

const SENT = "Thu, 03 Dec 2026 04:00:00 GMT";
const FIVE_SECONDS_LATER = "Thu, 03 Dec 2026 04:00:05 GMT";

test("seconds are read, with fractions, and of several values the longest", (t) => {
  t.is(readRetryAfter("3", undefined), 3_000);
  t.is(readRetryAfter("0.25", undefined), 250);
  t.is(readRetryAfter(["1", "4", "2"], undefined), 4_000);
});

test("what asks for no time, or can't be read, asks for none", (t) => {
  for (const value of [undefined, "0", "-3", "", "soon", "1e9"]) {
    t.is(readRetryAfter(value, SENT), undefined, String(value));
  }
});

test("a date counts from the answer's own date, not from this machine's clock", (t) => {
  t.is(readRetryAfter(FIVE_SECONDS_LATER, SENT), 5_000);
  t.is(readRetryAfter(SENT, FIVE_SECONDS_LATER), undefined);
  t.is(readRetryAfter(FIVE_SECONDS_LATER, undefined), undefined);
});
