import { pino } from "pino";
import test from "ava";
import { PrefixExchange } from "../../src/gateway/prefix_exchange.ts";
import { PrefixRecovery } from "../../src/gateway/prefix_recovery.ts";
import { PrefixIndex } from "../../src/upstreams/prefix_index.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Start that the entries of these engines tell. */
const STARTED_AT = 5;

/** Runs the recovery of a host that hears no other; returns the addresses of the engines that it asked, and how many are
 * taken to keep the part that they list.
 * @param engineCount Engines that are listed.
 * @param startedAt Start that their answers tell. */
async function recoverAlone(engineCount: number, startedAt?: number) {
  const asked: string[] = [];
  const logger = pino({ level: "silent" });
  const prefixes = PrefixIndex.create();
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const address = `127.0.0.1:${index + 1}`;
    return Upstream.create(
      buildUpstream({ id: `e-${index}`, address, startedAt: STARTED_AT }),
    );
  });
  const exchange = PrefixExchange.create(prefixes, logger);
  const recovery = PrefixRecovery.create({
    logger,
    prefixes,
    exchange,
    inventory: {
      listParts: (address) => {
        asked.push(address);
        return Promise.resolve({ parts: ["c0ffee"], startedAt });
      },
      close: () => Promise.resolve(),
    },
    hostId: "g-0",
    getHosts: () => [],
    getEngines: () => engines,
  });
  await recovery.run();
  await exchange.close();
  const part = PrefixIndex.nameOf("c0ffee");
  const { length: keeping } = prefixes.getSightings(part, performance.now());
  return { asked, keeping };
}

test("a host that nobody can tell asks each of a few engines once", async (t) => {
  const { asked, keeping } = await recoverAlone(6);
  t.is(new Set(asked).size, 6);
  t.is(keeping, 6);
});

test("many engines are not asked, however few hosts are heard yet", async (t) => {
  t.deepEqual((await recoverAlone(42)).asked, []);
});

test("a list counts for the start of the engine that gave it", async (t) => {
  t.is((await recoverAlone(2, STARTED_AT)).keeping, 2);
  t.is((await recoverAlone(2, STARTED_AT + 1)).keeping, 0);
});
