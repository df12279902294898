import test from "ava";
import { CrashMemory } from "../../src/crashes/crash_memory.ts";
import { CrashGossip } from "../../src/crashes/crash_gossip.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { type TestSocket, withSockets } from "../peers/with_sockets.ts";

const REQUEST = 0xc0ffee123456;

interface TestHost {
  memory: CrashMemory;
  gossip: CrashGossip;
}

function startHost(
  { socket, address }: TestSocket,
  sockets: readonly TestSocket[],
): TestHost {
  let gossip: CrashGossip | undefined = undefined;
  const memory = CrashMemory.create({
    onCrashHeard: () => undefined,
    onNews: () => gossip?.announce(),
    onHeld: () => undefined,
  });
  socket.handle(
    "crash_words",
    ({ words }) => memory.learn(words, performance.now()),
  );
  gossip = CrashGossip.create({
    memory,
    send: (host, words) => socket.send(host, { type: "crash_words", words }),
    getHosts: () =>
      sockets.map((other) => other.address).filter((other) =>
        other !== address
      ),
  });
  return { memory, gossip };
}

function isHeld({ memory }: TestHost): boolean {
  return memory.getHold(REQUEST, performance.now()) !== undefined;
}

async function withHosts(
  count: number,
  body: (hosts: TestHost[], startLater: () => TestHost) => Promise<void>,
): Promise<void> {
  await withSockets(count, async (sockets) => {
    const hosts = sockets.slice(0, -1).map((one) => startHost(one, sockets));
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
  test(`crashes that two of ${count} hosts saw hold the request on all`, async (t) => {
    await withHosts(count, async (hosts) => {
      hosts[0]!.memory.noteCrash(REQUEST, 1, 2, performance.now());
      hosts[1]!.memory.noteCrash(REQUEST, 2, 2, performance.now());
      await waitUntil("all hold it", () => hosts.every(isHeld));
      t.pass();
    });
  });

  test(`one of ${count} hosts that starts later learns what is remembered`, async (t) => {
    await withHosts(count, async (hosts, startLater) => {
      hosts[0]!.memory.noteCrash(REQUEST, 1, 2, performance.now());
      hosts[0]!.memory.noteCrash(REQUEST, 2, 2, performance.now());
      await waitUntil("all hold it", () => hosts.every(isHeld));
      const late = startLater();
      await waitUntil("the late one holds it", () => isHeld(late));
      t.pass();
    });
  });
}
