import { pino } from "pino";
import test from "ava";
import { PrefixExchange } from "../../src/gateway/prefix_exchange.ts";
import { PrefixRecovery } from "../../src/gateway/prefix_recovery.ts";
import { PrefixIndex } from "../../src/upstreams/prefix_index.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Runs the recovery of a host that hears no other; returns the addresses of the engines that it asked. */
async function recoverAlone(engineCount: number): Promise<string[]> {
  const asked: string[] = [];
  const logger = pino({ level: "silent" });
  const prefixes = PrefixIndex.create();
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const address = `127.0.0.1:${index + 1}`;
    return Upstream.create(buildUpstream({ id: `e-${index}`, address }));
  });
  const exchange = PrefixExchange.create(prefixes, logger);
  const recovery = PrefixRecovery.create({
    logger,
    prefixes,
    exchange,
    inventory: {
      listParts: (address) => {
        asked.push(address);
        return Promise.resolve(["c0ffee"]);
      },
      close: () => Promise.resolve(),
    },
    hostId: "g-0",
    getHosts: () => [],
    getEngines: () => engines,
  });
  await recovery.run();
  await exchange.close();
  return asked;
}

test("a host that nobody can tell asks each of a few engines once", async (t) => {
  t.is(new Set(await recoverAlone(6)).size, 6);
});

test("many engines are not asked, however few hosts are heard yet", async (t) => {
  t.deepEqual(await recoverAlone(42), []);
});
