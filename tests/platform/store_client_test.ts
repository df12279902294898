import test from "ava";
import fc from "fast-check";
import { closeHttp, listenHttp, reply } from "../../fakes/http_fake.ts";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { FeedError } from "../../src/published/feed_error.ts";

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
