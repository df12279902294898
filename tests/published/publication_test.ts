import fc from "fast-check";
import test from "ava";
import { Publication } from "../../src/published/publication.ts";
import type { UpstreamChange } from "../../src/published/publication_feed.ts";
import { buildConfiguration, buildUpstream } from "./build_published.ts";

/** Changes as the platform publishes them: each revision belongs to a single upstream. */
const historyArbitrary = fc.array(
  fc.record({ id: fc.constantFrom("a", "b", "c"), isRemoved: fc.boolean() }),
  { minLength: 1, maxLength: 20 },
).map((entries): UpstreamChange[] =>
  entries.map(({ id, isRemoved }, index) =>
    isRemoved
      ? { id, revision: index + 1, upstream: undefined }
      : { id, revision: index + 1, upstream: buildUpstream({ id }) }
  )
);

function listLive(publication: Publication): string[] {
  return publication.getChanges().filter((change) => change.upstream)
    .map((change) => `${change.id}@${change.revision}`).sort();
}

test("merging changes in any order and more than once gives the same list", (t) => {
  const property = fc.property(
    historyArbitrary,
    fc.infiniteStream(fc.nat(1_000)),
    (changes, ranks) => {
      const first = Publication.create();
      first.merge(undefined, changes, 0);
      const ranked = [...changes, ...changes].map((change) => ({
        change,
        rank: ranks.next().value as number,
      }));
      const shuffled = ranked.sort((a, b) => a.rank - b.rank);
      const second = Publication.create();
      for (const { change } of shuffled) second.merge(undefined, [change], 0);
      return listLive(first).join() === listLive(second).join();
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 11, numRuns: 500 }));
});

test("an older configuration never replaces a newer one", (t) => {
  const publication = Publication.create();
  publication.merge(buildConfiguration({ version: 7 }), [], 0);
  const result = publication.merge(buildConfiguration({ version: 4 }), [], 0);
  t.false(result.hasNewConfiguration);
  t.is(publication.configuration?.version, 7);
});

test("an upstream that a snapshot does not list is removed, unless it changed after the snapshot", (t) => {
  const publication = Publication.create();
  publication.merge(undefined, [
    { id: "old", revision: 1, upstream: buildUpstream({ id: "old" }) },
    { id: "new", revision: 9, upstream: buildUpstream({ id: "new" }) },
  ], 0);
  publication.mergeSnapshot(5, undefined, [], 0);
  t.deepEqual(listLive(publication), ["new@9"]);
});

test("a peer that does not know of an upstream's removal does not re-add it", (t) => {
  const publication = Publication.create();
  const live = { id: "a", revision: 1, upstream: buildUpstream({ id: "a" }) };
  publication.merge(undefined, [live], 0);
  publication.merge(undefined, [
    { id: "a", revision: 2, upstream: undefined },
  ], 0);
  publication.merge(undefined, [live], 0);
  t.deepEqual(listLive(publication), []);
});

test("publications with the same content have the same digest, and a change alters it", (t) => {
  const [one, other] = [Publication.create(), Publication.create()];
  const change = { id: "a", revision: 1, upstream: buildUpstream({ id: "a" }) };
  for (const publication of [one, other]) {
    publication.merge(buildConfiguration({ version: 2 }), [change], 0);
  }
  t.is(one.digest, other.digest);
  one.merge(undefined, [{ id: "a", revision: 3, upstream: undefined }], 0);
  t.not(one.digest, other.digest);
});

test("the changes after the revision up to which a host misses nothing bring it to its peer's state", (t) => {
  const property = fc.property(
    historyArbitrary,
    fc.nat(20),
    (changes, known) => {
      const peer = Publication.create();
      peer.merge(undefined, changes, 0);
      peer.markCompleteUpTo(changes.length);
      const host = Publication.create();
      host.merge(undefined, changes.slice(0, known), 0);
      host.markCompleteUpTo(Math.min(known, changes.length));
      host.merge(undefined, peer.getChanges(host.completeUpTo), 0);
      host.markCompleteUpTo(peer.completeUpTo);
      return listLive(host).join() === listLive(peer).join() &&
        host.digest === peer.digest && host.completeUpTo === peer.completeUpTo;
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 12, numRuns: 500 }));
});
