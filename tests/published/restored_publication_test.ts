import test from "ava";
import { createPosition } from "../../src/published/position.ts";
import { Publication } from "../../src/published/publication.ts";
import type { UpstreamChange } from "../../src/published/publication_feed.ts";
import type { PublishedUpstream } from "../../src/published/upstream_schema.ts";
import { buildUpstream } from "./build_published.ts";

function buildChange(
  era: number,
  revision: number,
  changes: Partial<PublishedUpstream> = {},
): UpstreamChange {
  const upstream = buildUpstream(changes);
  return { id: upstream.id, revision: createPosition(era, revision), upstream };
}

/** Creates a publication that has merged a snapshot of era 1 at revision 20. */
function createPublication(...changes: UpstreamChange[]): Publication {
  const publication = Publication.create();
  mergeSnapshot(publication, 1, 20, ...changes);
  return publication;
}

function mergeSnapshot(
  publication: Publication,
  era: number,
  revision: number,
  ...changes: UpstreamChange[]
): void {
  const position = createPosition(era, revision);
  publication.mergeSnapshot(position, undefined, changes, 0);
  publication.markCompleteUpTo(position);
}

function listStates(publication: Publication): string[] {
  return publication.getChanges().filter(({ upstream }) => upstream).map((
    { id, upstream },
  ) => `${id} ${upstream!.isLeaving ? "leaving" : "live"}`).sort();
}

test("a change that was published after a restore counts although its revision is lower", (t) => {
  const publication = createPublication(buildChange(1, 15));
  mergeSnapshot(publication, 2, 9, buildChange(2, 5));
  publication.merge(undefined, [buildChange(2, 10, { isLeaving: true })], 0);
  t.deepEqual(listStates(publication), ["u leaving"]);
});

test("a leaving instance stays leaving after a restore until it is published otherwise", (t) => {
  const publication = createPublication(
    buildChange(1, 15, { isLeaving: true }),
  );
  mergeSnapshot(publication, 2, 9, buildChange(2, 5));
  t.deepEqual(listStates(publication), ["u leaving"]);
  publication.merge(undefined, [buildChange(2, 10)], 0);
  t.deepEqual(listStates(publication), ["u live"]);
});

test("a later instance of a leaving upstream is not leaving", (t) => {
  const publication = createPublication(
    buildChange(1, 15, { isLeaving: true, startedAt: 100 }),
  );
  mergeSnapshot(publication, 2, 9, buildChange(2, 5, { startedAt: 200 }));
  t.deepEqual(listStates(publication), ["u live"]);
});

test("a restore does not bring back an ended instance", (t) => {
  const publication = createPublication(buildChange(1, 15, { startedAt: 200 }));
  mergeSnapshot(publication, 2, 9, buildChange(2, 5, { startedAt: 100 }));
  const [change] = publication.getChanges();
  t.is(change?.upstream?.startedAt, 200);
});

test("a host that knows only the restored data learns the corrections from a peer", (t) => {
  const peer = createPublication(buildChange(1, 15, { isLeaving: true }));
  const host = Publication.create();
  for (const one of [peer, host]) mergeSnapshot(one, 2, 9, buildChange(2, 5));
  t.not(peer.digest, host.digest);
  host.mergePeerState(
    peer.completeUpTo,
    undefined,
    peer.getChanges(),
    0,
  );
  t.is(peer.digest, host.digest);
  t.deepEqual(listStates(host), ["u leaving"]);
});

test("a host that learns of a restore from a peer removes the upstreams that the peer does not list", (t) => {
  const publication = createPublication(
    buildChange(1, 15),
    buildChange(1, 16, { id: "v" }),
  );
  const position = createPosition(2, 9);
  publication.mergePeerState(position, undefined, [buildChange(2, 5)], 0);
  publication.markCompleteUpTo(position);
  t.deepEqual(listStates(publication), ["u live"]);
});

test("a host of the previous era does not bring back removed upstreams", (t) => {
  const publication = createPublication(buildChange(1, 15));
  mergeSnapshot(publication, 2, 9, buildChange(2, 5));
  const outdated = createPublication(
    buildChange(1, 15),
    buildChange(1, 19, { id: "v" }),
  );
  publication.mergePeerState(
    outdated.completeUpTo,
    undefined,
    outdated.getChanges(),
    0,
  );
  t.deepEqual(listStates(publication), ["u live"]);
});
