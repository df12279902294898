import { pino } from "pino";
import test from "ava";
import { Gossip, type GossipOptions } from "../../src/peers/gossip.ts";
import type { PublicationWord } from "../../src/peers/publication_word.ts";
import { getFreePort } from "../../tools/free_port.ts";
import { buildEntry } from "./build_entry.ts";

async function startGossip(
  id: string,
  seeds: string[],
  options: Partial<GossipOptions>,
): Promise<{ gossip: Gossip; address: string }> {
  const address = `127.0.0.1:${await getFreePort()}`;
  const gossip = await Gossip.create({
    logger: pino({ level: "silent" }),
    address,
    hall: "h",
    getSeeds: () => seeds,
    describeSelf: () =>
      buildEntry({ id, gossipAddress: address, publicationAgeMs: 321 }),
    takeFacts: () => [],
    hasFacts: () => false,
    onFacts: () => undefined,
    onEntry: () => undefined,
    getSources: () => [],
    onWord: () => undefined,
    ...options,
  });
  return { gossip, address };
}

test("a host that asks another is told the age of what that knows, by its own clock", async (t) => {
  const source = await startGossip("source", [], {});
  let resolve: (answer: [PublicationWord, number]) => void = () => undefined;
  const answered = new Promise<[PublicationWord, number]>((done) =>
    resolve = done
  );
  const startedAt = performance.now();
  const asking = await startGossip("asking", [source.address], {
    getSources: () => [source.address],
    onWord: (host, word, askedAt) => {
      t.is(host.id, "source");
      resolve([word, askedAt]);
    },
  });
  const [word, askedAt] = await answered;
  t.is(word.publicationAgeMs, 321);
  t.true(askedAt >= startedAt && askedAt <= performance.now());
  asking.gossip.close();
  source.gossip.close();
});
