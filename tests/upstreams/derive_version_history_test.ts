import test from "ava";
import { createPosition } from "../../src/published/position.ts";
import type {
  PublicationHistory,
  UpstreamChange,
} from "../../src/published/publication_feed.ts";
import { deriveVersionHistory } from "../../src/upstreams/derive_version_history.ts";
import { buildUpstream } from "../published/build_published.ts";

const NOW = 1_764_000_000_000;

/** An entry of an upstream; `created` is the position of its first entry. */
function entry(
  id: string,
  revision: number,
  softwareVersion: string,
  { created = revision, startedAt = NOW - 60_000 } = {},
): UpstreamChange {
  const arrival = created;
  return {
    id,
    revision,
    upstream: buildUpstream({ id, softwareVersion, startedAt, arrival }),
  };
}

function removal(id: string, revision: number): UpstreamChange {
  return { id, revision, upstream: undefined };
}

function derive(history: Partial<PublicationHistory>) {
  return deriveVersionHistory(
    { present: [], changes: [], completeAfter: 0, calls: 1, ...history },
    NOW,
  );
}

test("a history from the beginning of the platform is complete", (t) => {
  const { observedMs, defect, departures } = derive({
    present: [entry("a", 1, "v1")],
  });
  t.is(observedMs, Infinity);
  t.is(defect, undefined);
  t.deepEqual(departures, []);
});

test("a history covers the time since an upstream whose first entry it contains has started, less the delay of its entry", (t) => {
  const { observedMs } = derive({
    completeAfter: 7,
    present: [entry("a", 8, "v1"), entry("b", 3, "v1", { startedAt: 5 })],
  });
  t.is(observedMs, 57_000);
});

test("a history in which nothing shows its age covers no time", (t) => {
  const recent = { startedAt: NOW - 2_000 };
  for (const present of [[], [entry("a", 8, "v1", recent)]]) {
    const { observedMs, defect } = derive({ completeAfter: 7, present });
    t.is(observedMs, 0);
    t.is(defect, "unknown_age");
  }
});

test("a clock that is behind the start of an upstream proves no age", (t) => {
  const present = [entry("a", 8, "v1", { startedAt: NOW + 5_000 })];
  t.is(derive({ completeAfter: 7, present }).observedMs, 0);
});

test("upstreams that were removed or started again under their id have departed", (t) => {
  const { departures, defect } = derive({
    changes: [
      entry("a", 1, "v1"),
      entry("b", 2, "v2"),
      removal("a", 3),
      entry("b", 4, "v3", { created: 2, startedAt: NOW - 1_000 }),
    ],
  });
  t.is(defect, undefined);
  t.deepEqual(departures, [
    { service: "s", softwareVersion: "v1", agoMs: 0 },
    { service: "s", softwareVersion: "v2", agoMs: 0 },
  ]);
});

test("a removed upstream whose entry is not retained may have had any version", (t) => {
  const { observedMs, defect } = derive({ changes: [removal("a", 3)] });
  t.is(observedMs, 0);
  t.is(defect, "unknown_departure");
});

test("an entry that replaced one that is not retained may have replaced another version until it started", (t) => {
  const replaced = { created: 2, startedAt: NOW - 10_000 };
  for (const part of ["changes", "present"] as const) {
    const { departures } = derive({ [part]: [entry("a", 9, "v2", replaced)] });
    t.deepEqual(departures, [
      { service: "s", softwareVersion: undefined, agoMs: 7_000 },
    ]);
  }
});

test("a restored platform may have lost upstreams that came and went", (t) => {
  const { observedMs, defect } = derive({
    completeAfter: createPosition(2, 0),
  });
  t.is(observedMs, 0);
  t.is(defect, "restored");
});
