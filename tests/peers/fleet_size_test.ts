import test from "ava";
import { FleetSize } from "../../src/peers/fleet_size.ts";

test("the size of a fleet is not known until all hosts are", (t) => {
  const size = FleetSize.create();
  t.is(size.get(3), undefined);
  size.recordComplete(7);
  t.is(size.get(7), 7);
});

test("a host that may have lost others in a partition keeps the last size", (t) => {
  const size = FleetSize.create();
  size.recordComplete(7);
  t.is(size.get(4), 7);
  t.is(size.get(9), 9);
  size.recordComplete(5);
  t.is(size.get(5), 5);
});
