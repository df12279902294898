import { Random } from "../../src/random/random.ts";
import {
  CrashFleet,
  type CrashFleetOptions,
  TRAFFIC_FROM_MS,
} from "./crash_fleet.ts";

/** Virtual time for which callers send prompts, in milliseconds. */
const TRAFFIC_MS = 24_000;
/** Time of the last disruption, in milliseconds of traffic. */
const LAST_DISRUPTION_MS = 20_000;
/** Minimum and maximum number of disruptions. */
const DISRUPTIONS = [4, 16] as const;
/** Minimum and maximum time for which a killed host is down, in milliseconds. */
const DOWN_MS = [100, 3_000] as const;
/** Minimum and maximum duration of a cut, in milliseconds. */
const CUT_MS = [500, 4_000] as const;
/** Minimum and maximum duration of a pause, in milliseconds. */
const PAUSE_MS = [200, 2_500] as const;
/** Time between two hosts of seven that restart in turn, in milliseconds. */
const ROLL_GAP_MS = 700;

/** A fleet after a schedule of disruptions that is drawn from a seed. */
export interface ScheduledCrashes {
  fleet: CrashFleet;
  /** The disruptions, for a report. */
  description: string[];
}

interface DisruptionContext {
  fleet: CrashFleet;
  hosts: number;
  random: Random;
  /** Virtual milliseconds. */
  at: number;
}

/** Schedules one disruption each; returns its description. */
const DISRUPTIONS_BY_NAME: Readonly<
  Record<string, (context: DisruptionContext) => string>
> = {
  killOne({ fleet, hosts, random, at }) {
    const index = random.integer(0, hosts - 1);
    fleet.at(at, () => fleet.kill([index], random.integer(...DOWN_MS)));
    return `host ${index} is killed`;
  },
  killThird({ fleet, hosts, random, at }) {
    const affected = drawHosts(hosts, 0.3, random);
    fleet.at(at, () => fleet.kill(affected, random.integer(...DOWN_MS)));
    return `${affected.length} hosts are killed`;
  },
  killAll({ fleet, hosts, random, at }) {
    const affected = drawHosts(hosts, 1, random);
    fleet.at(at, () => fleet.kill(affected, random.integer(...DOWN_MS)));
    return "all hosts are killed";
  },
  restartInTurn({ fleet, hosts, random, at }) {
    const gapMs = ROLL_GAP_MS * 7 / hosts;
    for (const [turn, index] of drawHosts(hosts, 1, random).entries()) {
      fleet.at(at + turn * gapMs, () => fleet.kill([index], 400));
    }
    return "all hosts restart in turn";
  },
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
  options: CrashFleetOptions,
  names: readonly string[],
): Promise<ScheduledCrashes> {
  const random = Random.create(options.seed);
  const fleet = CrashFleet.create(options);
  const description: string[] = [];
  const count = names.length === 0 ? 0 : random.integer(...DISRUPTIONS);
  for (let index = 0; index < count; index++) {
    const at = TRAFFIC_FROM_MS + random.integer(500, LAST_DISRUPTION_MS);
    const schedule = DISRUPTIONS_BY_NAME[random.pick(names)]!;
    const context = { fleet, hosts: options.hosts, random, at };
    description.push(`${at}: ${schedule(context)}`);
  }
  await fleet.runUntil(TRAFFIC_FROM_MS + TRAFFIC_MS);
  return { fleet, description };
}

function drawHosts(hosts: number, fraction: number, random: Random): number[] {
  const all = Array.from({ length: hosts }, (_, index) => index);
  return random.shuffle(all).slice(0, Math.ceil(hosts * fraction));
}
