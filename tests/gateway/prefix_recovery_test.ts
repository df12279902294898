import { pino } from "pino";
import test from "ava";
import { PrefixExchange } from "../../src/gateway/prefix_exchange.ts";
import { PrefixRecovery } from "../../src/gateway/prefix_recovery.ts";
import type { AvailabilityNotice } from "../../src/upstreams/availability_notice.ts";
import { PrefixIndex } from "../../src/upstreams/prefix_index.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Start that the entries of these engines tell. */
const STARTED_AT = 5;

/** How engines answer. */
interface AnswerOptions {
  /** Start that they tell. */
  startedAt?: number;
  status?: number;
  availability?: AvailabilityNotice;
  /** Told of the engines before they are asked. */
  prepare?: (engines: readonly Upstream[]) => void;
}

/** Runs the recovery of a host that hears no other; returns the addresses of the engines that it asked, and how many are
 * taken to keep the part that they list.
 * @param engineCount Engines that are listed.
 * @param answer How they answer. */
async function recoverAlone(engineCount: number, answer: AnswerOptions = {}) {
  const {
    startedAt,
    status = 200,
    availability = { backoffMs: undefined, isLeaving: false },
  } = answer;
  const asked: string[] = [];
  const logger = pino({ level: "silent" });
  const prefixes = PrefixIndex.create();
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const address = `127.0.0.1:${index + 1}`;
    return Upstream.create(
      buildUpstream({ id: `e-${index}`, address, startedAt: STARTED_AT }),
    );
  });
  answer.prepare?.(engines);
  const exchange = PrefixExchange.create(prefixes, logger);
  const recovery = PrefixRecovery.create({
    logger,
    prefixes,
    exchange,
    inventory: {
      listParts: (address) => {
        asked.push(address);
        const list = { parts: ["c0ffee"], startedAt };
        return Promise.resolve({
          status,
          availability,
          list: status === 200 ? list : undefined,
        });
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
  return { asked, keeping, engines };
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
  t.is((await recoverAlone(2, { startedAt: STARTED_AT })).keeping, 2);
  t.is((await recoverAlone(2, { startedAt: STARTED_AT + 1 })).keeping, 0);
});

test("an engine that asked for a backoff is not asked for its list", async (t) => {
  const { asked } = await recoverAlone(3, {
    prepare: ([first]) =>
      first!.availability.note(
        { backoffMs: 60_000, isLeaving: false },
        performance.now(),
      ),
  });
  t.is(asked.length, 2);
});

test("what an engine says with its list, or in place of it, is heard", async (t) => {
  const { engines } = await recoverAlone(1, {
    status: 503,
    availability: { backoffMs: 60_000, isLeaving: true },
  });
  t.true(engines[0]!.isLeaving);
  t.true(engines[0]!.availability.getBackoffMs(performance.now()) > 0);
});
