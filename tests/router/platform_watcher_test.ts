import test from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { pino } from "pino";
import type { PublishedValue } from "../../src/configuration/document_schema.ts";
import { rankByRendezvous } from "../../src/hashing/rendezvous.ts";
import {
  PlatformWatcher,
  type PlatformWatcherOptions,
} from "../../src/router/platform_watcher.ts";

const ROUTER_COUNT = 20;
const ROTATION_INTERVAL_MS = 60_000;
const RETRY_MS = 10;

/** Starts a platform that fails the first reads of documents, and lists hosts at once. */
async function startPlatform(failures: number) {
  const reads = { documents: 0, hosts: 0 };
  const server = createServer((request, response) => {
    if (request.url!.startsWith("/v1/hosts")) {
      reads.hosts += 1;
      const isWaiting = !request.url!.includes("wait=0");
      if (isWaiting) return;
      response.end(JSON.stringify({ version: 0, hosts: [] }));
      return;
    }
    reads.documents += 1;
    response.statusCode = reads.documents > failures ? 200 : 500;
    response.end(JSON.stringify({ revision: 1, values: [] }));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { reads, url: `http://127.0.0.1:${port}`, close };
}

/** Returns the id of the router that watches last, and the view of a hall of routers. */
function buildHall() {
  const ids = Array.from({ length: ROUTER_COUNT }, (_, index) => `r${index}`);
  const interval = String(Math.floor(Date.now() / ROTATION_INTERVAL_MS));
  const routers = ids.map((id) => ({ host: { id, hall: "h" }, heard: true }));
  return { id: rankByRendezvous(interval, ids).at(-1)!, view: { routers } };
}

// Guards against a start that waits a minute for its turn to watch because its first read failed.
test("a router without documents reads them although others of its hall watch", async (t) => {
  const platform = await startPlatform(2);
  const { id, view } = buildHall();
  const offered = new Promise<readonly PublishedValue[]>((resolve) => {
    const watcher = PlatformWatcher.create({
      settings: {
        id,
        hall: "h",
        platform: {
          url: platform.url,
          watchMs: 1_000,
          retryMs: RETRY_MS,
          watchersPerHall: 1,
        },
      },
      logger: pino({ level: "silent" }),
      membership: { view, offerHostList: () => undefined },
      configuration: {
        documents: { revision: 0 },
        offer: (values: readonly PublishedValue[]) => {
          void watcher.close();
          resolve(values);
          return Promise.resolve();
        },
      },
    } as unknown as PlatformWatcherOptions);
  });
  t.deepEqual(await offered, []);
  t.true(platform.reads.documents >= 3);
  platform.close();
});

// Guards against a router that asks for an empty host list as fast as it is answered.
test("an empty host list is waited for at the platform", async (t) => {
  const platform = await startPlatform(0);
  const { id, view } = buildHall();
  const watcher = PlatformWatcher.create({
    settings: {
      id,
      hall: "h",
      platform: {
        url: platform.url,
        watchMs: 1_000,
        retryMs: RETRY_MS,
        watchersPerHall: ROUTER_COUNT,
      },
    },
    logger: pino({ level: "silent" }),
    membership: { view, offerHostList: () => undefined },
    configuration: {
      documents: { revision: 0 },
      offer: () => new Promise(() => undefined),
    },
  } as unknown as PlatformWatcherOptions);
  while (platform.reads.hosts < 2) {
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
  await new Promise((resolve) => setTimeout(resolve, 10 * RETRY_MS));
  t.is(platform.reads.hosts, 2);
  platform.close();
  await watcher.close();
});
