import test from "ava";
import { hashText } from "../../src/hashing/hasher.ts";
import { computeCap } from "../../src/owner/load_bound.ts";
import { LoadBook } from "../../src/owner/load_book.ts";
import { auditBound } from "../../tools/bound_audit.ts";

/** What settings promise by default, and the age a mean may have; as in the tests with real processes. */
const PROMISE = { multiple: 2, minimum: 4, lagMs: 2_000 };
const ENGINES = ["e-0", "e-1", "e-2", "e-3"];
const LOAD_BEFORE = 10;
/** Lateness of a process beside load: until a report is read, and until a request that was let go reaches its engine. */
const REPORT_DELAY_MS = 400;
const START_DELAY_MS = 500;

/** How the load of each engine rose, by one request at a time. */
const RISE = Array.from(
  { length: LOAD_BEFORE },
  (_, index): [number, number] => [index - LOAD_BEFORE, index + 1],
);

/** Starts that a router lets go at a moment, on one engine that has become idle. */
function countStarts(book: LoadBook, now: number): number {
  const mean = book.getMean(ENGINES, now);
  return computeCap({
    boundMultiple: PROMISE.multiple,
    minimumCap: PROMISE.minimum,
    slots: 64,
    mean,
    heardShare: 1,
  });
}

test("a mean that is read late, and acted on late, keeps engines to the bound", (t) => {
  for (let decidedAt = 0; decidedAt <= 4_000; decidedAt += 50) {
    const book = LoadBook.create();
    if (decidedAt >= REPORT_DELAY_MS) {
      const told = ENGINES.map((id): [number, number] => [
        hashText(id),
        LOAD_BEFORE,
      ]);
      book.record(told, REPORT_DELAY_MS);
    }
    const starts = countStarts(book, decidedAt);
    const arrivedAt = decidedAt + START_DELAY_MS;
    const ledgers = ENGINES.map((_, engine) => {
      const ledger: [number, number][] = [...RISE, [0, 0]];
      if (engine > 0) return ledger;
      const arrivals = Array.from(
        { length: starts },
        (_, index): [number, number] => [arrivedAt, index + 1],
      );
      return [...ledger, ...arrivals];
    });
    const report = auditBound(ledgers, PROMISE);
    t.is(report.violations, 0, `decided at ${decidedAt} ms`);
  }
});
