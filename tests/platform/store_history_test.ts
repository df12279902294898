import test from "ava";
import fc from "fast-check";
import {
  findCompletePosition,
  readRetainedEvents,
} from "../../platform/store_history.ts";

test("the oldest retained revision is found in few calls wherever it lies", async (t) => {
  const revisions = fc.integer({ min: 0, max: 200_000 });
  const property = fc.asyncProperty(
    revisions,
    revisions,
    async (one, other) => {
      const [oldest, newest] = [Math.min(one, other), Math.max(one, other)];
      const { after, events, calls } = await readRetainedEvents(
        newest,
        (revision) =>
          Promise.resolve(revision < oldest ? undefined : [revision]),
      );
      return after === oldest && events[0] === oldest && calls <= 26;
    },
  );
  await fc.assert(property, { seed: 20, numRuns: 500 });
  t.pass();
});

test("nothing is retained if the store refuses each revision", async (t) => {
  const retained = await readRetainedEvents(
    40,
    () => Promise.resolve(undefined),
  );
  t.deepEqual([retained.after, retained.events], [40, []]);
});

test("revisions of items that are listed continue the history to the first one that is unknown", (t) => {
  const items = [
    { private_key: "servers/a", value: "", revision: 9, created: 5 },
    { private_key: "op/config", value: "", revision: 8, created: 3 },
    { private_key: "servers/b", value: "", revision: 7, created: 7 },
    { private_key: "servers/c", value: "", revision: 6 },
    { private_key: 5 },
  ];
  const find = (after: number) =>
    findCompletePosition({ items, revision: 12 }, {
      after,
      events: [],
      calls: 1,
    });
  t.is(find(9), 4);
  t.is(find(10), 10);
  t.is(find(3), 2);
  t.is(find(0), 0);
  t.is(find(1), 0);
});
