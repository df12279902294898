import { pino } from "pino";
import test from "ava";
import { PublicationKeeper } from "../../src/published/publication_keeper.ts";
import { buildConfiguration } from "./build_published.ts";

/** Longer than any outage that matters, in milliseconds. */
const LONG_AGO_MS = 60_000;

function createKeeper(): PublicationKeeper {
  return PublicationKeeper.create({
    logger: pino({ level: "silent" }),
    onConfiguration: () => undefined,
    onEra: () => undefined,
    onUpstreams: () => undefined,
  });
}

function takeSnapshot(keeper: PublicationKeeper, askedAt: number): void {
  const snapshot = {
    revision: 1,
    configuration: buildConfiguration(),
    upstreams: [],
    problems: [],
  };
  keeper.takeSnapshot(snapshot, askedAt);
}

test("the age of what is known counts from when it was asked for, and never grows by an older word", (t) => {
  const keeper = createKeeper();
  t.is(keeper.ageMs, Infinity);
  const now = performance.now();
  takeSnapshot(keeper, now);
  const digest = keeper.digest;
  keeper.takeConfirmation(digest, now - LONG_AGO_MS);
  t.true(keeper.ageMs < LONG_AGO_MS);
});

test("a peer's word counts only where it knows the same", (t) => {
  const keeper = createKeeper();
  takeSnapshot(keeper, performance.now() - LONG_AGO_MS);
  keeper.takeConfirmation(keeper.digest + 1, performance.now());
  t.true(keeper.ageMs >= LONG_AGO_MS);
  keeper.takeConfirmation(keeper.digest, performance.now());
  t.true(keeper.ageMs < LONG_AGO_MS);
});

test("after an outage entries may have lapsed, also where a peer tells of its end, and not after a first start", (t) => {
  const keeper = createKeeper();
  takeSnapshot(keeper, performance.now() - LONG_AGO_MS);
  t.true(keeper.lapseEndsAt < performance.now());
  keeper.takeConfirmation(keeper.digest, performance.now());
  t.true(keeper.lapseEndsAt > performance.now());
});
