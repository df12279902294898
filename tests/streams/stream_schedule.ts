import { Random } from "../../src/random/random.ts";
import {
  type Disruption,
  drawHosts,
  KILL_DISRUPTIONS,
} from "../peers/host_disruptions.ts";
import { StreamFleet, TRAFFIC_FROM_MS } from "./stream_fleet.ts";

/** Virtual time for which callers send requests, in milliseconds. */
const TRAFFIC_MS = 20_000;
/** Time of the last disruption, in milliseconds of traffic. */
const LAST_DISRUPTION_MS = 17_000;
/** Minimum and maximum number of disruptions. */
const DISRUPTIONS = [6, 24] as const;
const VERSIONS = ["v1", "v1.1", "v1.2"] as const;
const UPSTREAMS_PER_VERSION = 4;
/** Minimum and maximum duration of a partition, in milliseconds. */
const PARTITION_MS = [500, 4_000] as const;
/** Minimum and maximum duration of a pause, in milliseconds. */
const PAUSE_MS = [200, 2_500] as const;

/** Maximum time from the beginning of a release until all hosts are killed, in milliseconds. */
const KILL_AFTER_RELEASE_MS = 5_000;

/** A fleet after a schedule of disruptions that is drawn from a seed. */
export interface ScheduledStreams {
  fleet: StreamFleet;
  /** The disruptions, for a report. */
  description: string[];
}

/** Schedules one disruption each; returns its description. */
const DISRUPTIONS_BY_NAME: Readonly<Record<string, Disruption<StreamFleet>>> = {
  ...KILL_DISRUPTIONS,
  cutCallers({ fleet, random, at }) {
    const fraction = random.pick([0.1, 0.5, 1]);
    fleet.at(at, () => fleet.cutCallers(fraction));
    return `${fraction} of the callers' connections break`;
  },
  partition({ fleet, random, at }) {
    const parts = random.pick([2, 3]);
    const forMs = random.integer(...PARTITION_MS);
    fleet.at(at, () => fleet.fleet.setPartitions((index) => index % parts));
    fleet.at(at + forMs, () => fleet.fleet.setPartitions(() => 0));
    return `${parts} partitions for ${forMs} ms`;
  },
  pause({ fleet, hosts, random, at }) {
    const forMs = random.integer(...PAUSE_MS);
    const affected = drawHosts(hosts, 0.3, random);
    fleet.at(at, () => {
      for (const index of affected) pause(fleet, index, forMs);
    });
    return `${affected.length} hosts pause for ${forMs} ms`;
  },
  resetUpstream({ fleet, at }) {
    fleet.at(at, () => fleet.upstreams.resetOne());
    return "the connections to an upstream break";
  },
  crashUpstream({ fleet, random, at }) {
    const version = random.pick(VERSIONS);
    fleet.at(at, () => fleet.upstreams.crashOne(version));
    return `an upstream crashes, one of ${version} starts`;
  },
  forgetHistory({ fleet, at }) {
    fleet.at(at, () => fleet.upstreams.forgetHistory());
    return "the platform forgets its history";
  },
  killAllInRelease(context) {
    const { fleet, random, at } = context;
    const gapMs = random.integer(0, KILL_AFTER_RELEASE_MS);
    const release = DISRUPTIONS_BY_NAME.release!(context);
    const kill = KILL_DISRUPTIONS.killAll!({ ...context, at: at + gapMs });
    if (random.fraction() < 0.3) {
      fleet.at(at + gapMs, () => fleet.upstreams.forgetHistory());
    }
    return `${release}, ${gapMs} ms later ${kill}`;
  },
  release({ fleet, random, at }) {
    const version = random.pick(VERSIONS);
    const count = random.integer(1, 6);
    for (let index = 0; index < count; index++) {
      fleet.at(at + index * 400, () => fleet.upstreams.replaceOne(version));
    }
    return `${count} upstreams are replaced by ones of ${version}`;
  },
};

function pause({ fleet }: StreamFleet, index: number, forMs: number): void {
  if (!fleet.isActive(index)) return;
  fleet.pauseHost(index);
  fleet.timeline.after(forMs, () => fleet.resumeHost(index));
}

/** Disruptions that take away what hosts could learn after the loss of all of them. */
const LOSS_DISRUPTIONS = ["forgetHistory", "killAllInRelease"];

/** Names of all disruptions but those of {@link LOSS_DISRUPTIONS}. */
export const ALL_DISRUPTIONS = Object.keys(DISRUPTIONS_BY_NAME).filter((name) =>
  !LOSS_DISRUPTIONS.includes(name)
);

/** Names of the disruptions around the loss of all hosts while versions change. */
export const RELEASE_DISRUPTIONS = [
  ...LOSS_DISRUPTIONS,
  "killAll",
  "killOne",
  "release",
  "crashUpstream",
  "cutCallers",
] as const;

/** Runs a fleet through a schedule that is drawn from a seed.
 * @param seed The seed.
 * @param size Hosts and traffic of the fleet.
 * @param names Names of the disruptions to draw from.
 * @param maxVersions Maximum number of versions that serve at first. */
export async function runStreamSchedule(
  seed: number,
  size: { hosts: number; streamsPerSecond: number; loss: number },
  names: readonly string[],
  maxVersions: number = VERSIONS.length,
): Promise<ScheduledStreams> {
  const random = Random.create(seed);
  const fleet = StreamFleet.create({ seed, ...size });
  for (const version of VERSIONS.slice(0, random.integer(1, maxVersions))) {
    for (let index = 0; index < UPSTREAMS_PER_VERSION; index++) {
      fleet.upstreams.start(version);
    }
  }
  const description: string[] = [];
  const count = random.integer(...DISRUPTIONS);
  for (let index = 0; index < count; index++) {
    const at = TRAFFIC_FROM_MS + random.integer(500, LAST_DISRUPTION_MS);
    const schedule = DISRUPTIONS_BY_NAME[random.pick(names)]!;
    const context = { fleet, hosts: size.hosts, random, at };
    description.push(`${at}: ${schedule(context)}`);
  }
  await fleet.runUntil(TRAFFIC_FROM_MS + TRAFFIC_MS);
  return { fleet, description };
}
