import test from "ava";
import { MIN_FETCH_INTERVAL_MS } from "../../src/gateway/publication_exchange.ts";
import { CHANGE_BATCHING_MS } from "../../src/gateway/publication_watch.ts";
import { WatcherRanking } from "../../src/gateway/watcher_ranking.ts";
import { SMALL_FLEET_MAX_HOSTS } from "../../src/peers/host_table.ts";
import { POLL_INTERVAL_MS } from "../../src/peers/publication_status_poller.ts";

/** Part of the time within which changes must be in force that their way may take; the rest is for hosts that are busy. */
const MAX_FRACTION = 0.7;
/** Time of a call to the platform, and of a question to another host, in milliseconds. */
const CALL_MS = 4;
/** Time after which the gossip of another host contains the echo of a message to it, in milliseconds. */
const GOSSIP_ECHO_MS = 400;

/** Sizes of fleets, and the shortest time within which changes must be in force there, in milliseconds. */
const FLEETS = [
  { hosts: 6, applyWithinMs: 2_000 },
  { hosts: 58, applyWithinMs: 3_000 },
  { hosts: 195, applyWithinMs: 4_000 },
  { hosts: 2_700, applyWithinMs: 4_000 },
];

/** What slows a change down: hosts that do not respond to a question, and time that each call to the platform takes
 * longer. */
const CASES = {
  "at best": { lostSources: 0, slowerMs: 0 },
  "with one watcher lost": { lostSources: 1, slowerMs: 0 },
  "with the platform 0.8 s slower": { lostSources: 0, slowerMs: 800 },
};

/** Returns the number of hosts between the platform and the host that is furthest from it. */
function countHops(hosts: number): number {
  const ids = Array.from({ length: hosts }, (_, index) => `g-${index}`);
  const getSource = (id: string) =>
    WatcherRanking.create(id, ids.filter((other) => other !== id))
      .getSources()[0];
  const countFrom = (id: string): number => {
    const source = getSource(id);
    return source === undefined ? 0 : 1 + countFrom(source);
  };
  const sampled = ids.filter((_id, index) => index % 50 === 0);
  return Math.max(...[...sampled, ids.at(-1)!].map(countFrom));
}

/** Returns the longest time from a change to the last host that learns of it while all of them are idle. */
function getUpdateMs(
  hosts: number,
  { lostSources, slowerMs }: typeof CASES[keyof typeof CASES],
): number {
  const callMs = CALL_MS + slowerMs;
  // A change may just miss the response to a watch, and is then in the one after the batch.
  const watcherMs = callMs + CHANGE_BATCHING_MS + callMs;
  const isSmall = hosts <= SMALL_FLEET_MAX_HOSTS;
  const questionMs = isSmall ? GOSSIP_ECHO_MS : POLL_INTERVAL_MS;
  const hopMs = questionMs + MIN_FETCH_INTERVAL_MS + CALL_MS;
  const lostMs = isSmall ? 0 : lostSources * POLL_INTERVAL_MS;
  return watcherMs + countHops(hosts) * hopMs + lostMs;
}

// Guards against a way of changes that is longer than the time within which they must be in force.
for (const { hosts, applyWithinMs } of FLEETS) {
  for (const [name, disturbance] of Object.entries(CASES)) {
    test(`a change reaches ${hosts} hosts in time ${name}`, (t) => {
      const updateMs = getUpdateMs(hosts, disturbance);
      const limitMs = applyWithinMs * MAX_FRACTION;
      t.true(updateMs <= limitMs, `${updateMs} of ${limitMs} ms`);
    });
  }
}
