import test from "ava";
import { FairQueue, type QueueItem } from "../../src/owner/fair_queue.ts";

function item(
  customer: string,
  priority = 5,
  capacityShare = 0.25,
): QueueItem {
  return { customer, partner: "kilima", priority, capacityShare };
}

test("a customer with a surge of requests does not delay one that is below its share", (t) => {
  const queue = FairQueue.create(100);
  for (let count = 0; count < 4; count++) queue.markStarted(item("surging"));
  for (let count = 0; count < 40; count++) queue.push(item("surging"));
  queue.push(item("small"));
  t.is(queue.take(8)?.customer, "small");
});

test("a customer without competition may use the whole capacity", (t) => {
  const queue = FairQueue.create(100);
  for (let count = 0; count < 10; count++) queue.markStarted(item("alone"));
  queue.push(item("alone"));
  t.is(queue.take(8)?.customer, "alone");
});

test("among customers below their share the higher priority goes first", (t) => {
  const queue = FairQueue.create(100);
  queue.push(item("later", 3));
  queue.push(item("sooner", 8));
  t.is(queue.take(8)?.customer, "sooner");
});

test("one customer occupies at most half of the queue, and all customers together at most its limit", (t) => {
  const queue = FairQueue.create(10);
  const refusals = Array.from(
    { length: 6 },
    () => queue.push(item("surging")),
  );
  t.deepEqual(refusals, [
    undefined,
    undefined,
    undefined,
    undefined,
    undefined,
    "share",
  ]);
  for (let count = 0; count < 5; count++) {
    t.is(queue.push(item(`other-${count}`)), undefined);
  }
  t.is(queue.push(item("last")), "full");
});
