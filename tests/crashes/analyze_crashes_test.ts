import test from "ava";
import {
  analyzeCrashes,
  type InterruptedPrompt,
} from "../../src/crashes/analyze_crashes.ts";
import { Random } from "../../src/random/random.ts";

/** Parts of these tests: the first part of all prompts, a crashing one, and one that accompanies it. */
const FIRST = 1;
const CRASHING = 2;
const COMPANION = 3;

/** Builds a prompt that was in flight without a response on one instance that crashed. */
function interrupt(instance: number, ...parts: number[]): InterruptedPrompt {
  return { parts, crashes: [[instance, 2]], lastCrashAt: instance * 1_000 };
}

function findCauses(
  prompts: readonly InterruptedPrompt[],
  completions: Readonly<Record<number, number>>,
): (readonly number[])[] {
  return analyzeCrashes(prompts, (part) => completions[part] ?? 0).causes.map((
    { parts },
  ) => parts);
}

test("a part is the cause after crashes with three different prompts, none of which completed", (t) => {
  const prompts = [1, 2, 3].map((instance) =>
    interrupt(instance, FIRST, CRASHING)
  );
  const completions = { [FIRST]: 1 };
  t.deepEqual(findCauses(prompts.slice(0, 2), completions), []);
  t.deepEqual(findCauses(prompts, completions), [[CRASHING]]);
});

test("a prompt that crashes upstreams whenever it is sent says nothing about its parts", (t) => {
  const repeated: InterruptedPrompt = {
    parts: [FIRST, CRASHING],
    crashes: [[1, 2], [2, 2], [3, 2], [4, 2]],
    lastCrashAt: 0,
  };
  t.deepEqual(findCauses([repeated], {}), []);
});

test("prompts on one crashed instance count as one crash", (t) => {
  const prompts = [1, 2, 3, 4].map(() => interrupt(1, CRASHING));
  t.deepEqual(findCauses(prompts, {}), []);
});

test("crashes of several instances at the same moment count as one", (t) => {
  const prompts = [1, 2, 3, 4, 5].map((instance) => ({
    ...interrupt(instance, CRASHING),
    lastCrashAt: 50 + instance * 5,
  }));
  t.deepEqual(findCauses(prompts, {}), []);
  const later = [interrupt(6, CRASHING), interrupt(7, CRASHING)];
  t.deepEqual(findCauses([...prompts, ...later], {}), [[CRASHING]]);
});

test("a part that accompanies the cause is not blamed, even if it is rarely sent without it", (t) => {
  const prompts = [1, 2, 3, 4, 5, 6, 7].map((instance) =>
    interrupt(instance, FIRST, CRASHING, COMPANION)
  );
  const completions = { [FIRST]: 100, [COMPANION]: 1 };
  t.deepEqual(findCauses(prompts, completions), [[CRASHING]]);
});

test("parts that can't be told apart are only blamed together", (t) => {
  const prompts = [1, 2, 3].map((instance) =>
    interrupt(instance, FIRST, CRASHING, COMPANION)
  );
  const completions = { [FIRST]: 10 };
  t.deepEqual(findCauses(prompts, completions), [[CRASHING, COMPANION]]);
  const next = [...prompts, interrupt(4, FIRST, CRASHING)];
  t.deepEqual(findCauses(next, completions), [[CRASHING]]);
});

test("several crashing parts are found at once", (t) => {
  const prompts = [1, 2, 3].flatMap((instance) => [
    interrupt(instance, FIRST, CRASHING),
    interrupt(instance + 10, FIRST, 20),
  ]);
  const causes = findCauses(prompts, { [FIRST]: 10 });
  t.deepEqual(causes.flat().sort((a, b) => a - b), [CRASHING, 20]);
});

test("a part that does not crash every upstream is the cause once crashes outweigh completions", (t) => {
  const prompts = Array.from(
    { length: 5 },
    (_, index) => interrupt(index, FIRST, CRASHING),
  );
  const completions = { [FIRST]: 100, [CRASHING]: 5 };
  t.deepEqual(findCauses(prompts, completions), [[CRASHING]]);
  t.deepEqual(findCauses(prompts, { ...completions, [CRASHING]: 12 }), []);
});

test("crashes after part of the response hardly count", (t) => {
  const prompts = [1, 2, 3, 4, 5].map((instance): InterruptedPrompt => ({
    parts: [CRASHING],
    crashes: [[instance, 1]],
    lastCrashAt: instance * 1_000,
  }));
  t.deepEqual(findCauses(prompts, {}), []);
});

/** Simulates prompts of which no part causes crashes, until the given number of prompts; returns whether a part was
 * blamed meanwhile. Each prompt is interrupted by a crash with the given probability, and completes otherwise. */
function blamesInnocent(
  random: Random,
  interrupted: number,
  prompts: number,
): boolean {
  const completions = new Map<number, number>();
  const crashes: InterruptedPrompt[] = [];
  for (let index = 0; index < prompts; index++) {
    const parts = [FIRST, random.integer(10, 29)];
    if (random.fraction() < interrupted) {
      crashes.push(interrupt(index, ...parts));
      const known = (part: number) => completions.get(part) ?? 0;
      if (analyzeCrashes(crashes, known).causes.length > 0) return true;
    } else {
      for (const part of parts) {
        completions.set(part, (completions.get(part) ?? 0) + 1);
      }
    }
  }
  return false;
}

for (const [interrupted, limit] of [[0.02, 0], [0.05, 0.03]] as const) {
  test(`few innocent parts are blamed if ${interrupted} of the prompts are interrupted before their responses`, (t) => {
    const random = Random.create(56);
    const runs = 200;
    let blamed = 0;
    for (let run = 0; run < runs; run++) {
      if (blamesInnocent(random, interrupted, 400)) blamed += 1;
    }
    t.log(`${blamed} of ${runs} runs of 20 parts and 400 prompts`);
    t.true(blamed <= limit * runs);
  });
}
