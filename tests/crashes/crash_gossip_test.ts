import test from "ava";
import { CompletionCounts } from "../../src/crashes/completion_counts.ts";
import { CrashNewsSource } from "../../src/crashes/crash_news_source.ts";
import { CrashStore } from "../../src/crashes/crash_store.ts";
import { CrashGossip } from "../../src/crashes/crash_gossip.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { type TestSocket, withSockets } from "../peers/with_sockets.ts";

const REQUEST = 0xc0ffee123456;
const WITHOUT_HOLDS = { heldParts: [], confirm: () => undefined };
const WITHOUT_PARTS = {
  onPromptCrash: () => undefined,
  getSuspicion: () => 0,
  isExplained: () => false,
  isHeld: () => false,
};

interface TestHost {
  crashStore: CrashStore;
  gossip: CrashGossip;
}

function startHost(
  { socket, address }: TestSocket,
  sockets: readonly TestSocket[],
): TestHost {
  let gossip: CrashGossip | undefined = undefined;
  const crashStore = CrashStore.create({
    onCrashReported: () => undefined,
    onPendingReports: () => gossip?.scheduleBatch(),
    onHeld: () => undefined,
    ...WITHOUT_PARTS,
  });
  const news = CrashNewsSource.create(
    crashStore,
    CompletionCounts.create(1),
    WITHOUT_HOLDS,
  );
  socket.handle(
    "crash_words",
    (datagram) => news.merge(datagram.news, performance.now()),
  );
  gossip = CrashGossip.create({
    news,
    send: (host, sent) =>
      socket.send(host, { type: "crash_words", news: sent }),
    getHosts: () =>
      sockets.map((other) => other.address).filter((other) =>
        other !== address
      ),
  });
  return { crashStore, gossip };
}

function isHeld({ crashStore }: TestHost): boolean {
  return crashStore.getHold(REQUEST, performance.now()) !== undefined;
}

async function withHosts(
  count: number,
  body: (hosts: TestHost[], startLater: () => TestHost) => Promise<void>,
): Promise<void> {
  await withSockets(count, async (sockets) => {
    const hosts = sockets.slice(0, -1).map((socket) =>
      startHost(socket, sockets)
    );
    const startLater = () => {
      const host = startHost(sockets.at(-1)!, sockets);
      hosts.push(host);
      return host;
    };
    await body(hosts, startLater);
    for (const { gossip } of hosts) gossip.close();
  });
}

for (const count of [4, 40]) {
  test(`crashes recorded by two of ${count} hosts hold the request on all of them`, async (t) => {
    await withHosts(count, async (hosts) => {
      hosts[0]!.crashStore.recordCrash(REQUEST, 1, 2, performance.now());
      hosts[1]!.crashStore.recordCrash(REQUEST, 2, 2, performance.now());
      await waitUntil("all hosts hold it", () => hosts.every(isHeld));
      t.pass();
    });
  });

  test(`a host of ${count} that starts later receives the earlier reports`, async (t) => {
    await withHosts(count, async (hosts, startLater) => {
      hosts[0]!.crashStore.recordCrash(REQUEST, 1, 2, performance.now());
      hosts[0]!.crashStore.recordCrash(REQUEST, 2, 2, performance.now());
      await waitUntil("all hosts hold it", () => hosts.every(isHeld));
      const lateHost = startLater();
      await waitUntil("the late host holds it", () => isHeld(lateHost));
      t.pass();
    });
  });
}

// Guards against hosts that forward a held request after a start until a periodic message tells them of the hold.
test("a host that has just started is sent the known reports once, ahead of periodic messages", (t) => {
  const store = CrashStore.create({
    onCrashReported: () => undefined,
    onPendingReports: () => undefined,
    onHeld: () => undefined,
    ...WITHOUT_PARTS,
  });
  const receivers: string[] = [];
  const gossip = CrashGossip.create({
    news: CrashNewsSource.create(
      store,
      CompletionCounts.create(1),
      WITHOUT_HOLDS,
    ),
    send: (host) => void receivers.push(host),
    getHosts: () => ["other"],
  });
  gossip.informStarted("before any report", 1);
  store.recordCrash(REQUEST, 1, 2, performance.now());
  gossip.informStarted("started", 1);
  gossip.informStarted("started", 1);
  gossip.informStarted("started", 2);
  gossip.close();
  t.deepEqual(receivers, ["started", "started"]);
});
