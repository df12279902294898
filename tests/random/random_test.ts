import test from "ava";
import { Random } from "../../src/random/random.ts";

const DRAWS = 200;

test("picks every item at some time, and nothing else", (t) => {
  const random = Random.create(1);
  const picked = Array.from({ length: DRAWS }, () => random.pick(["a", "b"]));
  t.deepEqual(new Set(picked), new Set(["a", "b"]));
});

test("forks of equal sources are equal, and successive forks of one source differ", (t) => {
  const [first, again] = [Random.create(7), Random.create(7)];
  const drawn = first.fork().fraction();
  t.is(again.fork().fraction(), drawn);
  t.not(first.fork().fraction(), drawn);
});
