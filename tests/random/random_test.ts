import test from "ava";
import { Random } from "../../src/random/random.ts";

const DRAWS = 200;

test("each of some items is picked at times, and nothing else", (t) => {
  const random = Random.create(1);
  const picked = Array.from({ length: DRAWS }, () => random.pick(["a", "b"]));
  t.deepEqual(new Set(picked), new Set(["a", "b"]));
});

test("sources that equal ones draw are equal, and one draws different ones", (t) => {
  const [first, again] = [Random.create(7), Random.create(7)];
  const drawn = first.fork().fraction();
  t.is(again.fork().fraction(), drawn);
  t.not(first.fork().fraction(), drawn);
});
