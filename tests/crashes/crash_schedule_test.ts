import test from "ava";
import { TRAFFIC_FROM_MS } from "./crash_fleet.ts";
import { ALL_DISRUPTIONS, runCrashSchedule } from "./crash_schedule.ts";

/** Maximum number of prompts with a part that may reach upstreams after all hosts must know it. */
const MAX_LATE = 3;
/** Minimum fraction of the sound prompts that are sent to an upstream. */
const MIN_ADMITTED = 0.98;
/** Minimum fraction of the sound prompts whose first attempt begins a response once the parts are known: half of all. */
const MIN_BEGUN = 0.5;

const DEFAULTS = {
  upstreams: 16,
  soundPerSecond: 40,
  crashingPerSecond: 5,
  crashingParts: 1,
  isFirst: false,
  crashProbability: 1,
  loss: 0.01,
};

/** Fleets and their traffic, the seeds of their schedules, and the disruptions. */
const RUNS = [
  {
    name: "7 hosts without disruptions",
    options: { ...DEFAULTS, hosts: 7 },
    first: 1,
    seeds: 4,
    disruptions: [],
  },
  {
    name: "7 hosts",
    options: { ...DEFAULTS, hosts: 7 },
    first: 101,
    seeds: 20,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "7 hosts and three crashing parts",
    options: { ...DEFAULTS, hosts: 7, crashingParts: 3 },
    first: 201,
    seeds: 8,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "7 hosts and three crashing parts, with a sound part held",
    options: { ...DEFAULTS, hosts: 7, crashingParts: 3 },
    first: 2039,
    seeds: 1,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "7 hosts and a crashing part that is the first of its prompts",
    options: { ...DEFAULTS, hosts: 7, isFirst: true },
    first: 301,
    seeds: 8,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "7 hosts and a part that crashes seven of ten upstreams",
    options: { ...DEFAULTS, hosts: 7, crashProbability: 0.7 },
    first: 401,
    seeds: 8,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "7 hosts that lose a quarter of the datagrams",
    options: { ...DEFAULTS, hosts: 7, loss: 0.25 },
    first: 501,
    seeds: 8,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "7 hosts, six upstreams, and one crashing prompt a second",
    options: {
      ...DEFAULTS,
      hosts: 7,
      upstreams: 6,
      soundPerSecond: 36,
      crashingPerSecond: 1,
    },
    first: 7071,
    seeds: 10,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name:
      "7 hosts, six upstreams, and one crashing prompt a second, with all hosts lost three times",
    options: {
      ...DEFAULTS,
      hosts: 7,
      upstreams: 6,
      soundPerSecond: 36,
      crashingPerSecond: 1,
    },
    first: 7025,
    seeds: 1,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "24 hosts",
    options: { ...DEFAULTS, hosts: 24, upstreams: 32, soundPerSecond: 80 },
    first: 601,
    seeds: 4,
    disruptions: ALL_DISRUPTIONS,
  },
  {
    name: "87 hosts",
    options: { ...DEFAULTS, hosts: 87, upstreams: 60, soundPerSecond: 120 },
    first: 701,
    seeds: 1,
    disruptions: ALL_DISRUPTIONS,
  },
] as const;

for (const { name, options, first, seeds, disruptions } of RUNS) {
  test(`crashing prompt parts are withheld and other prompts are sent in schedules ${first} to ${first + seeds - 1} of ${name}`, async (t) => {
    let crashes = 0;
    for (let seed = first; seed < first + seeds; seed++) {
      const { fleet, description } = await runCrashSchedule(
        { ...options, seed },
        disruptions,
      );
      const report = `seed ${seed}: ${description.join("; ")}`;
      const { rule } = fleet;
      crashes += rule.crashCount;
      t.true(rule.countLate().every((late) => late <= MAX_LATE), report);
      t.true(rule.getAdmittedFraction(TRAFFIC_FROM_MS) >= MIN_ADMITTED, report);
      t.true(rule.getBegunFraction() >= MIN_BEGUN, report);
    }
    t.log(`${crashes} crashes by prompts in ${seeds} schedules`);
  });
}

// Guards against prompts that are refused because of crashes that no prompt has caused.
test("no prompts are refused while upstreams crash by chance", async (t) => {
  for (let seed = 801; seed < 809; seed++) {
    const { fleet } = await runCrashSchedule(
      { ...DEFAULTS, hosts: 7, crashingPerSecond: 0, seed },
      ["crashByChance", "crashTogether", "killOne"],
    );
    t.is(fleet.rule.getAdmittedFraction(TRAFFIC_FROM_MS), 1, `seed ${seed}`);
  }
});
