import { Random } from "../../src/random/random.ts";
import {
  type Disruption,
  drawHosts,
  KILL_DISRUPTIONS,
} from "../peers/host_disruptions.ts";
import {
  CrashFleet,
  type CrashFleetOptions,
  TRAFFIC_FROM_MS,
} from "./crash_fleet.ts";

/** Virtual time for which callers send prompts, in milliseconds. */
const TRAFFIC_MS = 24_000;
/** Time for which the fleet runs on, so that the responses to the last prompts can begin, in milliseconds. */
const RESPONSE_MS = 500;
/** Time of the last disruption, in milliseconds of traffic. */
const LAST_DISRUPTION_MS = 20_000;
/** Minimum and maximum number of disruptions. */
const DISRUPTIONS = [4, 16] as const;
/** Minimum and maximum duration of a cut, in milliseconds. */
const CUT_MS = [500, 4_000] as const;
/** Minimum and maximum duration of a pause, in milliseconds. */
const PAUSE_MS = [200, 2_500] as const;

/** A fleet after a schedule of disruptions that is drawn from a seed. */
export interface ScheduledCrashes {
  fleet: CrashFleet;
  /** The disruptions, for a report. */
  description: string[];
}

/** Schedules one disruption each; returns its description. */
const DISRUPTIONS_BY_NAME: Readonly<Record<string, Disruption<CrashFleet>>> = {
  ...KILL_DISRUPTIONS,
  cut({ fleet, hosts, random, at }) {
    const forMs = random.integer(...CUT_MS);
    const affected = drawHosts(hosts, random.pick([0.1, 0.4]), random);
    fleet.at(at, () => fleet.cut(affected, forMs));
    return `${affected.length} hosts are cut off for ${forMs} ms`;
  },
  pause({ fleet, hosts, random, at }) {
    const forMs = random.integer(...PAUSE_MS);
    const affected = drawHosts(hosts, 0.3, random);
    fleet.at(at, () => fleet.pause(affected, forMs));
    return `${affected.length} hosts pause for ${forMs} ms`;
  },
  crashByChance({ fleet, random, at }) {
    const count = random.integer(1, 8);
    for (let index = 0; index < count; index++) {
      fleet.at(at + index * 500, () => fleet.crashUpstreams(1));
    }
    return `${count} upstreams crash by chance`;
  },
  crashTogether({ fleet, random, at }) {
    const count = random.integer(2, 8);
    fleet.at(at, () => fleet.crashUpstreams(count));
    return `${count} upstreams crash at once`;
  },
};

/** Names of all disruptions. */
export const ALL_DISRUPTIONS = Object.keys(DISRUPTIONS_BY_NAME);

/** Runs a fleet through a schedule that is drawn from a seed.
 * @param options Options of the fleet.
 * @param names Names of the disruptions to draw from. */
export async function runCrashSchedule(
  options: Omit<CrashFleetOptions, "trafficMs">,
  names: readonly string[],
): Promise<ScheduledCrashes> {
  const random = Random.create(options.seed);
  const fleet = CrashFleet.create({
    ...options,
    trafficMs: TRAFFIC_MS,
  });
  const description: string[] = [];
  const count = names.length === 0 ? 0 : random.integer(...DISRUPTIONS);
  for (let index = 0; index < count; index++) {
    const at = TRAFFIC_FROM_MS + random.integer(500, LAST_DISRUPTION_MS);
    const schedule = DISRUPTIONS_BY_NAME[random.pick(names)]!;
    const context = { fleet, hosts: options.hosts, random, at };
    description.push(`${at}: ${schedule(context)}`);
  }
  await fleet.runUntil(TRAFFIC_FROM_MS + TRAFFIC_MS + RESPONSE_MS);
  return { fleet, description };
}
