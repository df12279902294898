import test from "ava";
import fc from "fast-check";
import { closeHttp, listenHttp, reply } from "../../fakes/http_fake.ts";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { FeedError } from "../../src/published/feed_error.ts";
import { getEra } from "../../src/published/position.ts";

const SOUND = {
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

/** Runs a test body on a client whose store answers as the test says. */
async function withStore(
  body: (
    client: StoreClient,
    answer: (value: unknown) => void,
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

/** Items that are none, or whose values are none. */
const spoiledItem = fc.oneof(
  fc.jsonValue({ maxDepth: 3 }),
  fc.record({
    private_key: fc.constantFrom("servers/a", "op/config", "x"),
    value: fc.oneof(fc.string(), fc.base64String()),
    revision: fc.integer({ min: 1, max: 9 }),
  }),
);

test("one bad item costs neither the page nor the watch", async (t) => {
  await withStore(async (client, answer) => {
    const property = fc.asyncProperty(
      fc.array(spoiledItem, { maxLength: 5 }),
      async (bad) => {
        const items = [...bad, SOUND];
        answer({ items, has_more: false, timestamp: 9 });
        const snapshot = await client.readSnapshot();
        answer({ events: items, timestamp: 9 });
        const changes = await client.watch(1, 10);
        return [snapshot, changes].every(({ upstreams }) => {
          const named = upstreams.filter((one) => one.upstream !== undefined);
          return named.map(({ id }) => id).join() === "sound";
        });
      },
    );
    await fc.assert(property, { seed: 19, numRuns: 300 });
  });
  t.pass();
});

test("an answer of another shape is a failed read, and nothing else", async (t) => {
  await withStore(async (client, answer) => {
    for (const value of [null, 5, [], {}, { items: 5, timestamp: 1 }]) {
      answer(value);
      const error = await client.readSnapshot().catch((thrown) => thrown);
      t.true(error instanceof FeedError);
    }
  });
});

/** Runs a test body on a client whose store answers with the eras that the test says, one after the other. */
async function withEras(
  eras: (string | undefined)[],
  body: (client: StoreClient, calls: () => number) => Promise<void>,
): Promise<void> {
  let calls = 0;
  const { server, port } = await listenHttp((request, response) => {
    const era = eras[Math.min(calls, eras.length - 1)];
    calls += 1;
    if (era !== undefined) response.setHeader("Store-Era", era);
    const isWatch = request.url!.startsWith("/kv-watch");
    reply(response, {
      ...isWatch ? { events: [SOUND] } : { items: [SOUND] },
      timestamp: 9,
    });
  });
  const client = StoreClient.create(`127.0.0.1:${port}`);
  try {
    await body(client, () => calls);
  } finally {
    await client.close();
    await closeHttp(server);
  }
}

async function getFailure(read: Promise<unknown>): Promise<string> {
  const error = await read.then(() => undefined, (thrown) => thrown);
  return error instanceof FeedError ? error.failure.kind : String(error);
}

test("changes of a restored store come after all that was known before", async (t) => {
  await withEras(["1", "1", "2"], async (client) => {
    const before = await client.readSnapshot();
    t.is(await getFailure(client.watch(before.revision, 10)), "history_lost");
    const after = await client.readSnapshot();
    t.true(after.revision > before.revision);
    t.true(after.upstreams[0]!.revision > before.upstreams[0]!.revision);
    t.is((await client.watch(after.revision, 10)).revision, after.revision);
  });
});

test("a snapshot whose answers are of two eras is read anew", async (t) => {
  await withEras(["1", "2"], async (client, calls) => {
    const snapshot = await client.readSnapshot();
    t.is(calls(), 4);
    t.is(getEra(snapshot.revision), 2);
  });
});

test("an answer of a lower era is a failed read", async (t) => {
  await withEras(["3", "3", "2"], async (client) => {
    const { revision } = await client.readSnapshot();
    t.is(await getFailure(client.watch(revision, 10)), "unavailable");
  });
});

test("an era that is missing or malformed tells no change", async (t) => {
  for (const era of [undefined, "", "x", "-1", "1.5", "99999", "1e3"]) {
    await withEras(["3", "3", era], async (client) => {
      const { revision } = await client.readSnapshot();
      t.is((await client.watch(revision, 10)).revision, revision);
    });
  }
});
