import fc from "fast-check";
import test from "ava";
import { AdmissionController } from "../../src/admission/admission_controller.ts";
import { Random } from "../../src/random/random.ts";
import {
  type ChoiceOptions,
  chooseUpstream as chooseUpstreamWithBasis,
} from "../../src/upstreams/choose_upstream.ts";
import { findFetchSource } from "../../src/upstreams/find_fetch_source.ts";
import { type LoadCount, LoadCounts } from "../../src/upstreams/load_counts.ts";
import { PrefixIndex } from "../../src/upstreams/prefix_index.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";

const CHAT = [{ name: PrefixIndex.hashPartId("chat"), tokens: 500 }];

function chooseUpstream(options: ChoiceOptions): Upstream | undefined {
  return chooseUpstreamWithBasis(options)?.upstream;
}

function createUpstreams(count: number): Upstream[] {
  return Array.from(
    { length: count },
    (_, index) =>
      Upstream.create(buildUpstream({ id: `u-${index}`, arrival: index })),
  );
}

function buildOptions(
  candidates: readonly Upstream[],
  changes: Partial<ChoiceOptions> = {},
): ChoiceOptions {
  return {
    candidates,
    reachable: candidates,
    triedIds: new Set(),
    sharedParts: [],
    avoidsSuspects: false,
    boundMultiple: 2,
    service: "s",
    route: "r",
    admission: AdmissionController.create(Random.create(2)),
    loads: LoadCounts.create(),
    prefixes: PrefixIndex.create(),
    hall: "h",
    random: Random.create(1),
    now: 0,
    ...changes,
  };
}

test("a chat goes to the engine that has its context cached, or if none is known to, to the same engine from every host", (t) => {
  const upstreams = createUpstreams(6);
  const prefixes = PrefixIndex.create();
  const first = chooseUpstream(
    buildOptions(upstreams, { sharedParts: CHAT, prefixes }),
  );
  const chosenByOtherHost = chooseUpstream(
    buildOptions([...upstreams].reverse(), { sharedParts: CHAT }),
  );
  t.is(first?.id, chosenByOtherHost?.id);
  const other = upstreams.find((upstream) => upstream !== first)!;
  prefixes.recordSent(CHAT, other.instanceHash, false, 0);
  const again = chooseUpstream(
    buildOptions(upstreams, { sharedParts: CHAT, prefixes }),
  );
  t.is(again, other);
});

test("no choice puts an engine above twice the mean load plus three, whatever prompts the chats share", (t) => {
  const staysWithinBound = fc.property(
    fc.integer({ min: 2, max: 12 }),
    fc.array(fc.nat(4), { minLength: 1, maxLength: 300 }),
    (count, chats) => {
      const upstreams = createUpstreams(count);
      const options = buildOptions(upstreams);
      return chats.every((chat) => {
        const name = PrefixIndex.hashPartId(`chat-${chat}`);
        const sharedParts = [{ name, tokens: 100 }];
        const chosen = chooseUpstream({ ...options, sharedParts })!;
        options.prefixes.recordSent(sharedParts, chosen.instanceHash, false, 0);
        chosen.ownRequests += 1;
        const total = upstreams.reduce(
          (sum, upstream) => sum + upstream.ownRequests,
          0,
        );
        return chosen.ownRequests <= 2 * total / count + 3;
      });
    },
  );
  t.notThrows(() => fc.assert(staysWithinBound, { seed: 5, numRuns: 200 }));
});

test("a request that can't be repeated avoids an upstream that failed recently", (t) => {
  const upstreams = createUpstreams(2);
  upstreams[0]!.health.recordSignal("silent", 0);
  upstreams[1]!.ownRequests = 2;
  const cautious = buildOptions(upstreams, { avoidsSuspects: true });
  t.is(chooseUpstream(cautious), upstreams[1]);
});

test("if all upstreams are ejected, one of them is used all the same", (t) => {
  const upstreams = createUpstreams(2);
  for (const one of upstreams) one.health.recordSignal("unreachable", 0);
  t.truthy(chooseUpstream(buildOptions(upstreams, { now: 1 })));
});

test("an engine fetches the deepest part that it lacks from one that has it cached", (t) => {
  const upstreams = createUpstreams(3);
  const prefixes = PrefixIndex.create();
  const parts = [{ name: 1, tokens: 10 }, { name: 2, tokens: 20 }];
  prefixes.recordSent(parts.slice(0, 1), upstreams[0]!.instanceHash, false, 0);
  prefixes.recordSent(parts, upstreams[1]!.instanceHash, false, 0);
  const find = (target: Upstream) =>
    findFetchSource(parts, target, upstreams, prefixes, 0);
  t.is(find(upstreams[2]!), upstreams[1]);
  t.is(find(upstreams[0]!), upstreams[1]);
  t.is(find(upstreams[1]!), undefined);
});

test("an engine fetches only from engines of its own software version", (t) => {
  const [target, other, same] = ["v1", "v2", "v1"].map((softwareVersion, id) =>
    Upstream.create(buildUpstream({ id: `u-${id}`, softwareVersion }))
  );
  const prefixes = PrefixIndex.create();
  prefixes.recordSent(CHAT, other!.instanceHash, false, 0);
  const find = (engines: readonly (Upstream | undefined)[]) =>
    findFetchSource(CHAT, target!, engines as Upstream[], prefixes, 0);
  t.not(find([target, other]), other);
  t.not(find([target, other, same]), other);
  prefixes.recordSent(CHAT, same!.instanceHash, false, 0);
  t.is(find([target, other, same]), same);
});

test("after a restart the first engine in a prompt's order fetches from the first one that arrived before it", (t) => {
  const upstreams = createUpstreams(6);
  const first = chooseUpstream(buildOptions(upstreams, { sharedParts: CHAT }))!;
  const source = findFetchSource(
    CHAT,
    first,
    upstreams,
    PrefixIndex.create(),
    0,
  );
  const isOlder = source === undefined ||
    source.published.arrival < first.published.arrival;
  t.true(isOlder);
});

test("a chat moves to another engine earlier if the counts of other hosts are old", (t) => {
  const upstreams = createUpstreams(4);
  const cachingEngine = upstreams[0]!;
  const prefixes = PrefixIndex.create();
  prefixes.recordSent(CHAT, cachingEngine.instanceHash, false, 0);
  const counts: LoadCount[] = upstreams.map(({ instanceHash }) => [
    instanceHash,
    instanceHash === cachingEngine.instanceHash ? 12 : 4,
  ]);
  const admission = AdmissionController.create(Random.create(3));
  admission.recordCompletion("s", "r", 1_000);
  const choose = (ageMs: number) => {
    const loads = LoadCounts.create();
    loads.record("other", { reportedAt: -ageMs, expiresAt: 1_000, counts });
    return chooseUpstream(
      buildOptions(upstreams, {
        sharedParts: CHAT,
        prefixes,
        loads,
        admission,
      }),
    );
  };
  t.is(choose(50), cachingEngine);
  t.not(choose(800), cachingEngine);
});
