import test from "ava";
import type { StreamFleet } from "./stream_fleet.ts";
import {
  ALL_DISRUPTIONS,
  RELEASE_DISRUPTIONS,
  runStreamSchedule,
} from "./stream_schedule.ts";

/** Fleets, the seeds of their schedules, and the minimum share of resumes that continue. The disruptions of the first
 * kind leave the host that began a stream alive, or kill it alone. */
const RUNS = [
  {
    hosts: 7,
    streamsPerSecond: 30,
    first: 1,
    seeds: 8,
    names: ["killOne", "cutCallers", "resetUpstream", "crashUpstream"],
    minContinued: 0.98,
  },
  {
    hosts: 87,
    streamsPerSecond: 60,
    first: 101,
    seeds: 1,
    names: ["killOne", "cutCallers", "resetUpstream", "crashUpstream"],
    minContinued: 0.98,
  },
  {
    hosts: 300,
    streamsPerSecond: 60,
    first: 151,
    seeds: 1,
    names: ["killOne", "cutCallers", "resetUpstream", "crashUpstream"],
    minContinued: 0.98,
  },
  {
    hosts: 7,
    streamsPerSecond: 30,
    first: 201,
    seeds: 20,
    names: ALL_DISRUPTIONS,
    minContinued: 0.5,
  },
  {
    hosts: 24,
    streamsPerSecond: 40,
    first: 301,
    seeds: 4,
    names: ALL_DISRUPTIONS,
    minContinued: 0.5,
  },
  {
    hosts: 87,
    streamsPerSecond: 60,
    first: 401,
    seeds: 1,
    names: ALL_DISRUPTIONS,
    minContinued: 0.5,
  },
] as const;

for (const { first, seeds, names, minContinued, ...size } of RUNS) {
  const kinds = names === ALL_DISRUPTIONS ? "all kinds" : "losses of one host";
  test(`streams keep their version and resumes continue in schedules ${first} to ${first + seeds - 1} of ${size.hosts} hosts, ${kinds}`, async (t) => {
    const total = { tried: 0, continued: 0 };
    for (let seed = first; seed < first + seeds; seed++) {
      const { fleet, description } = await runStreamSchedule(
        seed,
        { ...size, loss: 0.01 },
        names,
      );
      const mixed = fleet.streams.filter(({ versions }) => versions.length > 1);
      t.is(mixed.length, 0, `seed ${seed}: ${description.join("; ")}`);
      const { tried, continued } = countResumes(fleet);
      total.tried += tried;
      total.continued += continued;
    }
    t.log(`${total.continued} of ${total.tried} resumes continued`);
    t.true(total.tried > 0);
    t.true(total.continued >= total.tried * minContinued);
  });
}

/** Counts the resumes of streams that some host has survived, while two upstreams of their version served. */
function countResumes({ streams }: StreamFleet) {
  const counted = streams.filter(({ wasLostByAll }) => !wasLostByAll);
  return {
    tried: counted.reduce((sum, { resumes }) => sum + resumes.tried, 0),
    continued: counted.reduce((sum, { resumes }) => sum + resumes.continued, 0),
  };
}

/** Minimum share of the resumes that continue after the loss of all hosts, if one version alone has served. */
const MIN_CONTINUED_OF_LOST = 0.98;

/** Fleets whose hosts are all lost at once, and the seeds of their schedules. */
const LOST_RUNS = [
  { hosts: 7, streamsPerSecond: 30, first: 601, seeds: 8 },
  { hosts: 87, streamsPerSecond: 60, first: 631, seeds: 1 },
] as const;

for (const { first, seeds, ...size } of LOST_RUNS) {
  const last = first + seeds - 1;
  test(`streams keep their version after all of ${size.hosts} hosts are lost while versions change, in schedules ${first} to ${last}`, async (t) => {
    for (let seed = first; seed < first + seeds; seed++) {
      const { fleet, description } = await runStreamSchedule(
        seed,
        { ...size, loss: 0.01 },
        RELEASE_DISRUPTIONS,
      );
      const mixed = fleet.streams.filter(({ versions }) => versions.length > 1);
      t.is(mixed.length, 0, `seed ${seed}: ${description.join("; ")}`);
      const { tried, continued } = countLostResumes(fleet);
      t.log(`seed ${seed}: ${continued} of ${tried} resumes continued`);
    }
  });

  test(`streams of the only version continue after all of ${size.hosts} hosts are lost, in schedules ${first} to ${last}`, async (t) => {
    const total = { tried: 0, continued: 0 };
    for (let seed = first; seed < first + seeds; seed++) {
      const names = ["killAll", "cutCallers", "resetUpstream"];
      const { fleet } = await runStreamSchedule(
        seed,
        { ...size, loss: 0.01 },
        names,
        1,
      );
      const { tried, continued } = countLostResumes(fleet);
      total.tried += tried;
      total.continued += continued;
    }
    t.log(`${total.continued} of ${total.tried} resumes continued`);
    t.true(total.tried > 0);
    t.true(total.continued >= total.tried * MIN_CONTINUED_OF_LOST);
  });
}

/** Counts the resumes of streams that no host has survived, while two upstreams of their version served. */
function countLostResumes({ streams }: StreamFleet) {
  const counted = streams.filter(({ wasLostByAll }) => wasLostByAll);
  return {
    tried: counted.reduce((sum, { resumes }) => sum + resumes.tried, 0),
    continued: counted.reduce((sum, { resumes }) => sum + resumes.continued, 0),
  };
}
