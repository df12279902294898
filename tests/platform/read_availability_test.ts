import test from "ava";
import { readAvailability } from "../../platform/read_availability.ts";

test("an upstream that declines a request may ask for a backoff", (t) => {
  const headers = { "retry-after": "1.5" };
  t.is(readAvailability(503, headers).backoffMs, 1_500);
  t.is(readAvailability(429, headers).backoffMs, 1_500);
  t.is(readAvailability(200, headers).backoffMs, undefined);
  t.is(readAvailability(503, {}).backoffMs, undefined);
});

test("a leaving upstream announces it in any response", (t) => {
  t.true(readAvailability(200, { "server-leaving": "1" }).isLeaving);
  t.true(readAvailability(503, { "server-leaving": ["1", "1"] }).isLeaving);
  t.false(readAvailability(200, { "server-leaving": "0" }).isLeaving);
  t.false(readAvailability(200, {}).isLeaving);
});
