import test from "ava";
import { pino } from "pino";
import {
  FeedWatcher,
  type FeedWatcherOptions,
} from "../../src/published/feed_watcher.ts";
import type {
  PublicationChanges,
  PublicationFeed,
} from "../../src/published/publication_feed.ts";
import { PublicationReplica } from "../../src/published/publication_replica.ts";
import { afterSuspension } from "../clock/after_suspension.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { buildConfiguration, buildUpstream } from "./build_published.ts";

const LOGGER = pino({ level: "silent" });
const WATCH_MS = 1_000;
const LATE_AGE_MS = 1_500;
const PAUSE_MS = 2_500;

interface PendingWatch {
  waitMs: number;
  fail: () => void;
  respond: (changes: Partial<PublicationChanges>) => void;
}

/** Feed whose watches a test responds to. */
class TestFeed implements PublicationFeed {
  readonly watches: PendingWatch[] = [];

  readSnapshot() {
    return Promise.resolve({
      revision: 1,
      configuration: buildConfiguration(),
      upstreams: [],
      evacuations: [],
      problems: [],
    });
  }

  watch(after: number, waitMs: number): Promise<PublicationChanges> {
    return new Promise((resolve, reject) =>
      this.watches.push({
        waitMs,
        fail: () => reject(new Error("no response")),
        respond: (changes) =>
          resolve({
            revision: after,
            configuration: undefined,
            upstreams: [],
            evacuations: [],
            problems: [],
            ...changes,
          }),
      })
    );
  }

  readHistory(): never {
    throw new Error("not used");
  }

  close() {
    return Promise.resolve();
  }
}

/** Starts a watcher, and waits for its first watch.
 * @param options Its options that differ from the defaults. */
async function startWatcher(options: Partial<FeedWatcherOptions> = {}) {
  const feed = new TestFeed();
  const replica = PublicationReplica.create({
    logger: LOGGER,
    onConfiguration: () => undefined,
    onNewEra: () => undefined,
    onUpstreamChanges: () => undefined,
    onEvacuations: () => undefined,
    onObservationGap: () => undefined,
  });
  const watcher = FeedWatcher.create({
    feed,
    replica,
    logger: LOGGER,
    watchMs: WATCH_MS,
    lateAgeMs: LATE_AGE_MS,
    getRetryMs: () => 10,
    batchDelayMs: 10,
    getIdleCheckMs: () => 10,
    shouldWatch: () => true,
    ...options,
  });
  await waitUntil("the first watch", () => feed.watches.length === 1);
  return { feed, replica, watcher };
}

// Guards against a host that serves by what it knew before a pause for the time of a whole long poll.
test.serial("a watcher that was paused learns without a long poll whether its publication is complete", async (t) => {
  const { feed, replica, watcher } = await startWatcher();
  await afterSuspension(PAUSE_MS, async () => {
    const upstream = buildUpstream({ id: "u" });
    feed.watches[0]!.respond({
      revision: 2,
      upstreams: [{ id: "u", revision: 2, upstream }],
    });
    await waitUntil("the second watch", () => feed.watches.length === 2);
    t.is(feed.watches[1]!.waitMs, 0);
    feed.watches[1]!.respond({});
    await waitUntil("the third watch", () => feed.watches.length === 3);
    t.true(replica.ageMs < WATCH_MS);
    t.is(feed.watches[2]!.waitMs, WATCH_MS);
  });
  watcher.close();
  feed.watches[2]!.respond({});
});

// Guards against a paused host that takes its own pause for an outage of the platform.
test("a read that failed because of a pause is repeated at once and shows no outage", async (t) => {
  const { feed, replica, watcher } = await startWatcher({
    hasPausedWithin: () => true,
    getRetryMs: () => 3_600_000,
  });
  feed.watches[0]!.fail();
  await waitUntil("the second watch", () => feed.watches.length === 2);
  t.false(replica.isPlatformUnavailable);
  watcher.close();
  feed.watches[1]!.respond({});
});

test("a failed read shows an outage until the platform responds", async (t) => {
  const { feed, replica, watcher } = await startWatcher();
  feed.watches[0]!.fail();
  await waitUntil("the second watch", () => feed.watches.length === 2);
  t.true(replica.isPlatformUnavailable);
  feed.watches[1]!.respond({});
  await waitUntil("the third watch", () => feed.watches.length === 3);
  t.false(replica.isPlatformUnavailable);
  watcher.close();
  feed.watches[2]!.respond({});
});
