import test from "ava";
import { hashText } from "../../src/hashing/hasher.ts";
import { chooseMean, computeCap } from "../../src/owner/load_bound.ts";
import { LoadTable, UNREACHABLE_LOAD } from "../../src/owner/load_table.ts";
import { auditLoadBound } from "../../tools/bound_audit.ts";

/** Load bound guaranteed by the default settings, and the maximum age of a mean; as in the tests with real
 * processes. */
const GUARANTEE = { multiple: 2, minimum: 4, lagMs: 2_000 };
const ENGINES = ["e-0", "e-1", "e-2", "e-3"];
const INITIAL_LOAD = 10;
/** Delays of a process on a busy machine: until a report is read, and until a started request reaches its engine. */
const REPORT_DELAY_MS = 400;
const START_DELAY_MS = 500;

/** Load of each engine over time, which rises by one request at a time. */
const LOAD_INCREASE = Array.from(
  { length: INITIAL_LOAD },
  (_, index): [number, number] => [index - INITIAL_LOAD, index + 1],
);

/** Returns how many requests a router may start at a given time on one engine that has become idle. */
function countStartable(table: LoadTable, now: number): number {
  const mean = table.getMeans(ENGINES, now).reachable;
  return computeCap({
    boundMultiple: GUARANTEE.multiple,
    minimumCap: GUARANTEE.minimum,
    slots: 64,
    mean,
    reachableFraction: 1,
  });
}

test("a mean that is read late and takes effect late keeps engines within the bound", (t) => {
  for (let decidedAt = 0; decidedAt <= 4_000; decidedAt += 50) {
    const table = LoadTable.create();
    if (decidedAt >= REPORT_DELAY_MS) {
      const advertised = ENGINES.map((id): [number, number] => [
        hashText(id),
        INITIAL_LOAD,
      ]);
      table.record(advertised, REPORT_DELAY_MS);
    }
    const starts = countStartable(table, decidedAt);
    const arrivedAt = decidedAt + START_DELAY_MS;
    const ledgers = ENGINES.map((_, engine) => {
      const ledger: [number, number][] = [...LOAD_INCREASE, [0, 0]];
      if (engine > 0) return ledger;
      const arrivals = Array.from(
        { length: starts },
        (_, index): [number, number] => [arrivedAt, index + 1],
      );
      return [...ledger, ...arrivals];
    });
    const report = auditLoadBound(ledgers, GUARANTEE);
    t.is(report.violations, 0, `decided at ${decidedAt} ms`);
  }
});

// The mean of the reachable engines is higher than that of the pool. When the cap was computed from it, no slot was
// left for a request that another router starts without the owner knowing.
test("a slot below the bound stays free while an engine of the pool is unreachable", (t) => {
  const pool = ["e-0", "e-1", "e-2", "e-3", "e-4", "e-5"];
  for (let load = 0; load <= 60; load++) {
    const table = LoadTable.create();
    table.record(
      pool.map((id, index): [number, number] => [
        hashText(id),
        index === 0 ? UNREACHABLE_LOAD : load,
      ]),
      0,
    );
    const mean = chooseMean(table.getMeans(pool, 0), GUARANTEE.multiple);
    const cap = computeCap({
      boundMultiple: GUARANTEE.multiple,
      minimumCap: GUARANTEE.minimum,
      slots: 64,
      mean,
      reachableFraction: 1,
    });
    const poolMean = load * (pool.length - 1) / pool.length;
    const guaranteed = Math.max(
      GUARANTEE.minimum,
      Math.ceil(GUARANTEE.multiple * poolMean),
    );
    t.true(cap < guaranteed, `load ${load}: ${cap} of ${guaranteed}`);
    t.true(cap > load || load < GUARANTEE.minimum, `load ${load}: ${cap}`);
  }
});

test("the bound is computed from the reachable engines if it would otherwise be below their load", (t) => {
  const means = { reachable: 10, all: 10 / 3 };
  t.is(chooseMean(means, GUARANTEE.multiple), means.reachable);
});
