import test from "ava";
import { WatchOrder } from "../../src/gateway/watch_order.ts";

/** Hosts of the fleet in two years. */
const MANY = 2_700;

function createOrders(count: number): Map<string, WatchOrder> {
  const ids = Array.from({ length: count }, (_, index) => `host-${index}`);
  return new Map(
    ids.map((id) => [
      id,
      WatchOrder.create(id, ids.filter((other) => other !== id)),
    ]),
  );
}

function countNeeded(orders: Map<string, WatchOrder>, ageMs: number): number {
  return [...orders.values()].filter((order) => order.isNeeded(ageMs)).length;
}

test("three hosts of a large fleet watch; where they are silent, more in each step, and never all", (t) => {
  const orders = createOrders(85);
  t.is(countNeeded(orders, 0), 3);
  t.is(countNeeded(orders, 2_500), 3);
  t.is(countNeeded(orders, 2_700), 6);
  t.is(countNeeded(orders, 3_100), 12);
  t.is(countNeeded(orders, 60_000), 24);
});

test("a host that knows nothing yet reads for itself", (t) => {
  t.is(countNeeded(createOrders(85), Infinity), 85);
});

test("a host that hears nobody watches", (t) => {
  t.true(WatchOrder.create("alone", []).isNeeded(0));
});

test("each host is at most three questions from a watcher, and none is asked by too many", (t) => {
  const orders = createOrders(MANY);
  const asked = new Map<string, number>();
  for (const [id, order] of orders) {
    let at = id;
    let questions = 0;
    while (!orders.get(at)!.isWatcher) {
      const [source] = orders.get(at)!.getSources();
      at = source!;
      questions += 1;
      t.true(questions <= 3, id);
    }
    const [first] = order.getSources();
    if (first) asked.set(first, (asked.get(first) ?? 0) + 1);
  }
  t.true(Math.max(...asked.values()) <= 32);
});
