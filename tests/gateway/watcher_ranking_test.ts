import test from "ava";
import { WatcherRanking } from "../../src/gateway/watcher_ranking.ts";

/** Number of hosts that the fleet is expected to have in two years. */
const LARGE_FLEET_SIZE = 2_700;

function createRankings(count: number): Map<string, WatcherRanking> {
  const ids = Array.from({ length: count }, (_, index) => `host-${index}`);
  return new Map(
    ids.map((id) => [
      id,
      WatcherRanking.create(id, ids.filter((other) => other !== id)),
    ]),
  );
}

function countWatching(
  rankings: Map<string, WatcherRanking>,
  ageMs: number,
): number {
  return [...rankings.values()].filter((ranking) => ranking.shouldWatch(ageMs))
    .length;
}

test("three hosts of a large fleet watch; without updates from them twice as many in each step, up to a limit", (t) => {
  const rankings = createRankings(85);
  t.is(countWatching(rankings, 0), 3);
  t.is(countWatching(rankings, 2_500), 3);
  t.is(countWatching(rankings, 2_700), 6);
  t.is(countWatching(rankings, 3_100), 12);
  t.is(countWatching(rankings, 60_000), 24);
});

test("a host without a publication reads the platform itself", (t) => {
  t.is(countWatching(createRankings(85), Infinity), 85);
});

test("a host that knows no others watches", (t) => {
  t.true(WatcherRanking.create("alone", []).shouldWatch(0));
});

test("each host is at most three queries from a watcher, and none is queried by too many", (t) => {
  const rankings = createRankings(LARGE_FLEET_SIZE);
  const pollers = new Map<string, number>();
  for (const [id, ranking] of rankings) {
    let at = id;
    let queries = 0;
    while (!rankings.get(at)!.isWatcher) {
      const [source] = rankings.get(at)!.getSources();
      at = source!;
      queries += 1;
      t.true(queries <= 3, id);
    }
    const [first] = ranking.getSources();
    if (first) pollers.set(first, (pollers.get(first) ?? 0) + 1);
  }
  t.true(Math.max(...pollers.values()) <= 32);
});
