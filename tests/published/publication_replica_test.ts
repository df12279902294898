import { pino } from "pino";
import test from "ava";
import {
  PublicationReplica,
  type PublicationState,
} from "../../src/published/publication_replica.ts";
import { buildConfiguration } from "./build_published.ts";

/** Age in milliseconds that is longer than any relevant outage. */
const LONG_AGO_MS = 60_000;

function createReplica(): PublicationReplica {
  return PublicationReplica.create({
    logger: pino({ level: "silent" }),
    onConfiguration: () => undefined,
    onNewEra: () => undefined,
    onUpstreamChanges: () => undefined,
    onEvacuations: () => undefined,
    onObservationGap: () => undefined,
  });
}

function applySnapshot(replica: PublicationReplica, requestedAt: number): void {
  const snapshot = {
    revision: 1,
    configuration: buildConfiguration(),
    upstreams: [],
    evacuations: [],
    problems: [],
  };
  replica.applySnapshot(snapshot, requestedAt);
}

test("the age counts from the time of the request, and an older confirmation does not increase it", (t) => {
  const replica = createReplica();
  t.is(replica.ageMs, Infinity);
  const now = performance.now();
  applySnapshot(replica, now);
  const digest = replica.digest;
  replica.confirmFreshness(digest, now - LONG_AGO_MS);
  t.true(replica.ageMs < LONG_AGO_MS);
});

test("a peer's confirmation counts only if its digest is the same", (t) => {
  const replica = createReplica();
  applySnapshot(replica, performance.now() - LONG_AGO_MS);
  replica.confirmFreshness(replica.digest + 1, performance.now());
  t.true(replica.ageMs >= LONG_AGO_MS);
  replica.confirmFreshness(replica.digest, performance.now());
  t.true(replica.ageMs < LONG_AGO_MS);
});

function buildPeerState(lapseMs: number): PublicationState {
  return {
    configuration: buildConfiguration(),
    changes: [],
    evacuations: [],
    completeUpTo: 2,
    ageMs: 0,
    lapseMs,
  };
}

// Guards against requests to upstreams that left while a host was paused.
test("a host that was paused does not take the pause for an outage of the platform", (t) => {
  const replica = createReplica();
  applySnapshot(replica, performance.now() - LONG_AGO_MS);
  applySnapshot(replica, performance.now());
  t.true(replica.lapseEndsAt < performance.now());
});

test("an outage of the platform before what is known does not count as one after it", (t) => {
  const replica = createReplica();
  replica.recordOutage(performance.now() - 2 * LONG_AGO_MS);
  applySnapshot(replica, performance.now() - LONG_AGO_MS);
  applySnapshot(replica, performance.now());
  t.true(replica.lapseEndsAt < performance.now());
});

test("after an outage of the platform, missing entries may only have lapsed, but not after the first start", (t) => {
  const replica = createReplica();
  applySnapshot(replica, performance.now() - LONG_AGO_MS);
  t.true(replica.lapseEndsAt < performance.now());
  replica.recordOutage(performance.now());
  applySnapshot(replica, performance.now());
  t.true(replica.lapseEndsAt > performance.now());
});

test("a peer that has seen an outage passes on the remaining time in which entries may only have lapsed", (t) => {
  const observer = createReplica();
  applySnapshot(observer, performance.now() - LONG_AGO_MS);
  observer.recordOutage(performance.now());
  applySnapshot(observer, performance.now());
  const { lapseMs } = observer.getState();
  t.true(lapseMs > 0);
  const replica = createReplica();
  applySnapshot(replica, performance.now());
  replica.applyPeerState(buildPeerState(lapseMs), "g-1", performance.now());
  t.true(replica.lapseEndsAt > performance.now());
  t.true(replica.lapseEndsAt <= performance.now() + lapseMs);
});

test("a host that is late or was cut off does not take that for an outage of the platform", (t) => {
  const replica = createReplica();
  applySnapshot(replica, performance.now() - LONG_AGO_MS);
  replica.confirmFreshness(replica.digest, performance.now());
  t.true(replica.lapseEndsAt < performance.now());
  const late = createReplica();
  applySnapshot(late, performance.now() - LONG_AGO_MS);
  late.applyPeerState(buildPeerState(0), "g-1", performance.now());
  t.true(late.lapseEndsAt < performance.now());
});
