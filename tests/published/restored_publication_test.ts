import test from "ava";
import { createPosition } from "../../src/published/position.ts";
import { Publication } from "../../src/published/publication.ts";
import type { UpstreamChange } from "../../src/published/publication_feed.ts";
import type { PublishedUpstream } from "../../src/published/upstream_schema.ts";
import { buildUpstream } from "./build_published.ts";

function list(
  era: number,
  revision: number,
  changes: Partial<PublishedUpstream> = {},
): UpstreamChange {
  const upstream = buildUpstream(changes);
  return { id: upstream.id, revision: createPosition(era, revision), upstream };
}

/** A publication that has read a snapshot of era 1 at revision 20. */
function createKnown(...changes: UpstreamChange[]): Publication {
  const publication = Publication.create();
  takeSnapshot(publication, 1, 20, ...changes);
  return publication;
}

function takeSnapshot(
  publication: Publication,
  era: number,
  revision: number,
  ...changes: UpstreamChange[]
): void {
  const position = createPosition(era, revision);
  publication.mergeSnapshot(position, undefined, changes, 0);
  publication.noteComplete(position);
}

function describe(publication: Publication): string[] {
  return publication.getChanges().filter(({ upstream }) => upstream).map((
    { id, upstream },
  ) => `${id} ${upstream!.isLeaving ? "leaving" : "live"}`).sort();
}

test("what was published after a return counts although its revision is lower", (t) => {
  const publication = createKnown(list(1, 15));
  takeSnapshot(publication, 2, 9, list(2, 5));
  publication.merge(undefined, [list(2, 10, { isLeaving: true })], 0);
  t.deepEqual(describe(publication), ["u leaving"]);
});

test("a start that leaves goes on leaving, until it is written otherwise", (t) => {
  const publication = createKnown(list(1, 15, { isLeaving: true }));
  takeSnapshot(publication, 2, 9, list(2, 5));
  t.deepEqual(describe(publication), ["u leaving"]);
  publication.merge(undefined, [list(2, 10)], 0);
  t.deepEqual(describe(publication), ["u live"]);
});

test("a later start of the same upstream is another one", (t) => {
  const publication = createKnown(
    list(1, 15, { isLeaving: true, startedAt: 100 }),
  );
  takeSnapshot(publication, 2, 9, list(2, 5, { startedAt: 200 }));
  t.deepEqual(describe(publication), ["u live"]);
});

test("a start that is over does not come back", (t) => {
  const publication = createKnown(list(1, 15, { startedAt: 200 }));
  takeSnapshot(publication, 2, 9, list(2, 5, { startedAt: 100 }));
  const [change] = publication.getChanges();
  t.is(change?.upstream?.startedAt, 200);
});

test("a host that knows only the copy learns what contradicts it", (t) => {
  const knowing = createKnown(list(1, 15, { isLeaving: true }));
  const fresh = Publication.create();
  for (const one of [knowing, fresh]) takeSnapshot(one, 2, 9, list(2, 5));
  t.not(knowing.digest, fresh.digest);
  fresh.mergeState(knowing.completeUpTo, undefined, knowing.getChanges(), 0);
  t.is(knowing.digest, fresh.digest);
  t.deepEqual(describe(fresh), ["u leaving"]);
});

test("a host that hears of a return from a peer drops what the peer doesn't list", (t) => {
  const publication = createKnown(list(1, 15), list(1, 16, { id: "v" }));
  const position = createPosition(2, 9);
  publication.mergeState(position, undefined, [list(2, 5)], 0);
  publication.noteComplete(position);
  t.deepEqual(describe(publication), ["u live"]);
});

test("a host of the era before does not bring back what is over", (t) => {
  const publication = createKnown(list(1, 15));
  takeSnapshot(publication, 2, 9, list(2, 5));
  const before = createKnown(list(1, 15), list(1, 19, { id: "v" }));
  publication.mergeState(
    before.completeUpTo,
    undefined,
    before.getChanges(),
    0,
  );
  t.deepEqual(describe(publication), ["u live"]);
});
