import test from "ava";
import { OutstandingAttempts } from "../../src/forward/outstanding_attempts.ts";

function startThree() {
  const attempts = OutstandingAttempts.create<string>();
  attempts.start("a");
  attempts.leaveLatest();
  attempts.start("b");
  attempts.leaveLatest();
  attempts.start("c");
  return attempts;
}

test("attempts that are left stay outstanding", (t) => {
  const attempts = startThree();
  t.deepEqual(attempts.all, ["a", "b", "c"]);
  t.is(attempts.latest, "c");
});

test("only the end of the latest attempt is reported as such", (t) => {
  const attempts = startThree();
  t.false(attempts.end("a"));
  t.is(attempts.latest, "c");
  t.true(attempts.end("c"));
  t.false(attempts.end("c"));
  t.is(attempts.latest, undefined);
  t.deepEqual(attempts.all, ["b"]);
});

test("the attempt that is chosen becomes the latest, and the others are returned", (t) => {
  const attempts = startThree();
  t.deepEqual(attempts.choose("b"), ["a", "c"]);
  t.is(attempts.latest, "b");
  t.deepEqual(attempts.all, ["b"]);
  t.deepEqual(attempts.choose("b"), []);
});

test("an earlier attempt can be chosen after the latest one has ended", (t) => {
  const attempts = startThree();
  attempts.end("c");
  t.deepEqual(attempts.choose("a"), ["b"]);
  t.is(attempts.latest, "a");
});

test("no attempt is outstanding once all were removed", (t) => {
  const attempts = startThree();
  t.deepEqual(attempts.clear(), ["a", "b", "c"]);
  t.deepEqual(attempts.all, []);
  t.is(attempts.latest, undefined);
});
