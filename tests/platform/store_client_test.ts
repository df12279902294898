import test from "ava";
import fc from "fast-check";
import { closeHttp, listenHttp, reply } from "../../fakes/http_fake.ts";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { FeedError } from "../../src/published/feed_error.ts";
import { getEra } from "../../src/published/position.ts";

const VALID_ITEM = {
  private_key: "servers/sound",
  value: Buffer.from(JSON.stringify(buildWorkerEntry({
    service: "s",
    address: "10.1.64.5:8280",
    state: "ready",
    slots: 8,
    startedAt: 1_764_000_000_000,
  }))).toString("base64"),
  revision: 3,
  created: 3,
};

/** Runs a test body with a client of a store whose response the test sets. */
async function withStore(
  body: (
    client: StoreClient,
    respondWith: (value: unknown) => void,
  ) => Promise<void>,
): Promise<void> {
  let value: unknown = {};
  const { server, port } = await listenHttp((_request, response) =>
    reply(response, value)
  );
  const client = StoreClient.create(`127.0.0.1:${port}`);
  try {
    await body(client, (next) => value = next);
  } finally {
    await client.close();
    await closeHttp(server);
  }
}

/** Malformed items, and items with invalid values. */
const invalidItem = fc.oneof(
  fc.jsonValue({ maxDepth: 3 }),
  fc.record({
    private_key: fc.constantFrom("servers/a", "op/config", "x"),
    value: fc.oneof(fc.string(), fc.base64String()),
    revision: fc.integer({ min: 1, max: 9 }),
  }),
);

test("an invalid item affects neither the rest of the page nor the watch", async (t) => {
  await withStore(async (client, respondWith) => {
    const property = fc.asyncProperty(
      fc.array(invalidItem, { maxLength: 5 }),
      async (invalidItems) => {
        const items = [...invalidItems, VALID_ITEM];
        respondWith({ items, has_more: false, timestamp: 9 });
        const snapshot = await client.readSnapshot();
        respondWith({ events: items, timestamp: 9 });
        const changes = await client.watch(1, 10);
        return [snapshot, changes].every(({ upstreams }) => {
          const live = upstreams.filter((one) => one.upstream !== undefined);
          return live.map(({ id }) => id).join() === "sound";
        });
      },
    );
    await fc.assert(property, { seed: 19, numRuns: 300 });
  });
  t.pass();
});

test("a malformed response is reported as a failed read", async (t) => {
  await withStore(async (client, respondWith) => {
    for (const value of [null, 5, [], {}, { items: 5, timestamp: 1 }]) {
      respondWith(value);
      const error = await client.readSnapshot().catch((thrown) => thrown);
      t.true(error instanceof FeedError);
    }
  });
});

/** Runs a test body with a client of a store whose successive responses have the given eras; the last one repeats. */
async function withStoreEras(
  eras: (string | undefined)[],
  body: (client: StoreClient, getCallCount: () => number) => Promise<void>,
): Promise<void> {
  let callCount = 0;
  const { server, port } = await listenHttp((request, response) => {
    const era = eras[Math.min(callCount, eras.length - 1)];
    callCount += 1;
    if (era !== undefined) response.setHeader("Store-Era", era);
    const isWatch = request.url!.startsWith("/kv-watch");
    reply(response, {
      ...isWatch ? { events: [VALID_ITEM] } : { items: [VALID_ITEM] },
      timestamp: 9,
    });
  });
  const client = StoreClient.create(`127.0.0.1:${port}`);
  try {
    await body(client, () => callCount);
  } finally {
    await client.close();
    await closeHttp(server);
  }
}

async function getFailureKind(read: Promise<unknown>): Promise<string> {
  const error = await read.then(() => undefined, (thrown) => thrown);
  return error instanceof FeedError ? error.failure.kind : String(error);
}

test("changes of a restored store have higher positions than all earlier ones", async (t) => {
  await withStoreEras(["1", "1", "2"], async (client) => {
    const before = await client.readSnapshot();
    t.is(
      await getFailureKind(client.watch(before.revision, 10)),
      "history_lost",
    );
    const after = await client.readSnapshot();
    t.true(after.revision > before.revision);
    t.true(after.upstreams[0]!.revision > before.upstreams[0]!.revision);
    t.is((await client.watch(after.revision, 10)).revision, after.revision);
  });
});

test("a snapshot whose responses belong to two eras is read again", async (t) => {
  await withStoreEras(["1", "2"], async (client, getCallCount) => {
    const snapshot = await client.readSnapshot();
    t.is(getCallCount(), 4);
    t.is(getEra(snapshot.revision), 2);
  });
});

test("a response with a lower era is a failed read", async (t) => {
  await withStoreEras(["3", "3", "2"], async (client) => {
    const { revision } = await client.readSnapshot();
    t.is(await getFailureKind(client.watch(revision, 10)), "unavailable");
  });
});

test("a missing or malformed era is ignored", async (t) => {
  for (const era of [undefined, "", "x", "-1", "1.5", "99999", "1e3"]) {
    await withStoreEras(["3", "3", era], async (client) => {
      const { revision } = await client.readSnapshot();
      t.is((await client.watch(revision, 10)).revision, revision);
    });
  }
});

test("a history whose responses belong to two eras is not used", async (t) => {
  await withStoreEras(["1", "1"], async (client) => {
    const { changes, present } = await client.readHistory();
    t.deepEqual([changes.length, present.length], [1, 1]);
  });
  await withStoreEras(["1", "2"], async (client) => {
    t.is(await getFailureKind(client.readHistory()), "history_lost");
  });
});
