import test from "ava";
import { processTimeline } from "../../src/clock/timeline.ts";
import { HostRing } from "../../src/peers/host_ring.ts";
import { PrefixDirectory } from "../../src/peers/prefix_directory.ts";
import { ConsistentHashRing } from "../../src/hashing/consistent_hash_ring.ts";
import { hashText } from "../../src/hashing/hasher.ts";
import { PrefixIndex } from "../../src/upstreams/prefix_index.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { type TestSocket, withSockets } from "./with_sockets.ts";

const HOSTS = 14;
const PART = PrefixIndex.hashPartId("c0ffee");
const ENGINE = 4711;

interface TestHost {
  directory: PrefixDirectory;
  prefixes: PrefixIndex;
}

function buildRing(
  ownAddress: string,
  sockets: readonly TestSocket[],
): HostRing {
  const hosts = sockets.map(({ address }) => ({ address, hall: "h" }));
  return HostRing.create({
    own: { address: ownAddress, hall: "h" },
    getHosts: () => hosts.filter(({ address }) => address !== ownAddress),
    timeline: processTimeline,
  });
}

function startHosts(sockets: readonly TestSocket[]): TestHost[] {
  return sockets.map(({ socket, address }) => {
    const prefixes = PrefixIndex.create();
    const directory = PrefixDirectory.create({
      socket,
      prefixes,
      ring: buildRing(address, sockets),
    });
    return { directory, prefixes };
  });
}

/** Returns a part whose two directory hosts are both other hosts. */
function findPartOfOthers(sockets: readonly TestSocket[]): number {
  const addresses = sockets.map(({ address }) => address);
  const ring = ConsistentHashRing.create(addresses);
  const parts = addresses.map((address) => hashText(address));
  return parts.find((part) =>
    !ring.getSuccessors(part, 2).includes(addresses[0]!)
  )!;
}

function countHostsKnowingPart(hosts: readonly TestHost[]): number {
  const now = performance.now();
  return hosts.filter(({ prefixes }) => prefixes.isCached(PART, ENGINE, now))
    .length;
}

test("prefix updates are published to at most two hosts, and every other host finds them by a lookup", async (t) => {
  await withSockets(HOSTS, async (sockets) => {
    const hosts = startHosts(sockets);
    const [publisher] = hosts;
    publisher!.directory.publish([[PART, ENGINE, 100]]);
    const others = hosts.slice(1);
    await waitUntil(
      "a directory host knows the part",
      () => countHostsKnowingPart(others) > 0,
    );
    t.true(countHostsKnowingPart(others) <= 2);
    for (const { directory, prefixes } of others) {
      await waitUntil("the host knows the part", async () => {
        await directory.lookUp(PART);
        return prefixes.isCached(PART, ENGINE, performance.now());
      });
    }
    t.is(countHostsKnowingPart(others), HOSTS - 1);
    for (const { directory } of hosts) directory.close();
  });
});

test("a host that knows the part or has no other hosts sends no lookup", async (t) => {
  await withSockets(1, async (sockets) => {
    const [host] = startHosts(sockets);
    t.is(host!.directory.lookUp(PART), undefined);
    host!.prefixes.applyUpdates([[PART, ENGINE, 0]], performance.now());
    t.is(host!.directory.lookUp(PART), undefined);
    host!.directory.close();
    await Promise.resolve();
  });
});

test("a lookup goes to the second directory host if the first names no engine or does not respond", async (t) => {
  for (const firstResponds of [true, false]) {
    await withSockets(3, async (sockets) => {
      const [requester, ...others] = sockets;
      const part = findPartOfOthers(sockets);
      const prefixes = PrefixIndex.create();
      const directory = PrefixDirectory.create({
        socket: requester!.socket,
        prefixes,
        ring: buildRing(requester!.address, others),
      });
      let requests = 0;
      for (const { socket } of others) {
        socket.handle("prefix_lookup_request", ({ lookupId }, sender) => {
          requests += 1;
          if (requests === 1 && !firstResponds) return;
          const holders: [number, number][] = requests === 1
            ? []
            : [[ENGINE, 0]];
          const type = "prefix_lookup_response";
          socket.send(sender, { type, lookupId, holders });
        });
      }
      await waitUntil("the second host has responded", async () => {
        requests = 0;
        await directory.lookUp(part);
        return prefixes.isCachedAnywhere(part, performance.now());
      });
      t.is(requests, 2);
      directory.close();
    });
  }
});

test("a lookup without a response times out", async (t) => {
  await withSockets(2, async (sockets) => {
    const [requester] = startHosts(sockets.slice(0, 1));
    const directory = PrefixDirectory.create({
      socket: sockets[0]!.socket,
      prefixes: requester!.prefixes,
      ring: buildRing(sockets[0]!.address, [sockets[1]!]),
    });
    await directory.lookUp(PART);
    t.false(requester!.prefixes.isCachedAnywhere(PART, performance.now()));
    directory.close();
  });
});
