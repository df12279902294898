import { Random } from "../../src/random/random.ts";
import { RetryBudgetFleet, TRAFFIC_FROM_MS } from "./retry_budget_fleet.ts";

/** Virtual time for which callers send requests, in milliseconds. */
const TRAFFIC_MS = 36_000;
/** Time of the last disruption, in milliseconds of traffic. */
const LAST_DISRUPTION_MS = 26_000;
/** Minimum and maximum number of disruptions. */
const DISRUPTIONS = [2, 9] as const;
/** Minimum and maximum number of periods in which attempts fail. */
const FAILING_PERIODS = [1, 3] as const;
/** Minimum and maximum length of these, in milliseconds. */
const FAILING_MS = [2_000, 20_000] as const;
/** Fractions of the hosts that a disruption affects. */
const FRACTIONS = [0.15, 0.3, 0.55, 0.8, 1] as const;
/** Minimum and maximum time for which a killed host is down, in milliseconds. */
const DOWN_MS = [100, 4_000] as const;
/** Minimum and maximum duration of a partition, in milliseconds. */
const PARTITION_MS = [2_000, 20_000] as const;
/** Minimum and maximum duration of a pause, in milliseconds. */
const PAUSE_MS = [300, 5_000] as const;
/** Minimum and maximum time between two hosts of seven that restart in turn, in milliseconds. */
const ROLL_GAP_MS = [100, 900] as const;

/** A fleet whose schedule of disruptions is drawn from a seed. */
export interface ScheduledRun {
  fleet: RetryBudgetFleet;
  /** The disruptions, for a report. */
  description: string[];
}

/** What a disruption may use. */
interface DisruptionContext {
  fleet: RetryBudgetFleet;
  hosts: number;
  random: Random;
  /** Virtual milliseconds. */
  at: number;
}

/** Schedules one disruption each; returns its description. */
const DISRUPTION_KINDS: readonly ((context: DisruptionContext) => string)[] = [
  function killTogether({ fleet, hosts, random, at }) {
    const affected = drawHosts(hosts, random);
    const downMs = random.integer(...DOWN_MS);
    fleet.at(at, () => affected.forEach((index) => fleet.kill(index, downMs)));
    return `${affected.length} hosts are killed for ${downMs} ms`;
  },
  function restartInTurn({ fleet, hosts, random, at }) {
    const affected = drawHosts(hosts, random);
    const gapMs = random.integer(...ROLL_GAP_MS) * 7 / hosts;
    for (const [turn, index] of affected.entries()) {
      fleet.at(at + turn * gapMs, () => fleet.kill(index, 400));
    }
    return `${affected.length} hosts restart in turn, ${gapMs} ms apart`;
  },
  function reload({ fleet, hosts, random, at }) {
    const affected = drawHosts(hosts, random);
    fleet.at(at, () => affected.forEach((index) => fleet.reload(index)));
    return `${affected.length} hosts reload`;
  },
  function partition({ fleet, hosts, random, at }) {
    const parts = random.pick([2, 2, 3, hosts]);
    const forMs = random.integer(...PARTITION_MS);
    const partOf = Array.from(
      { length: hosts },
      () => random.integer(0, parts - 1),
    );
    fleet.at(at, () => fleet.fleet.setPartitions((index) => partOf[index]!));
    fleet.at(at + forMs, () => fleet.fleet.setPartitions(() => 0));
    return `${parts} partitions for ${forMs} ms`;
  },
  function pause({ fleet, hosts, random, at }) {
    const affected = drawHosts(hosts, random);
    const forMs = random.integer(...PAUSE_MS);
    fleet.at(at, () => affected.forEach((index) => fleet.pause(index, forMs)));
    return `${affected.length} hosts pause for ${forMs} ms`;
  },
  function grow({ fleet, hosts, at }) {
    fleet.at(at, () => {
      for (let index = 0; index < hosts; index++) fleet.start(index);
    });
    return "all hosts that have not started yet start";
  },
];

/** Runs a fleet through a schedule that is drawn from a seed.
 * @param seed The seed.
 * @param size Hosts and traffic of the fleet, and the additional retries of its budget. */
export function runSchedule(
  seed: number,
  size: { hosts: number; requestsPerSecond: number; extra: number },
): ScheduledRun {
  const random = Random.create(seed);
  const { hosts, requestsPerSecond, extra } = size;
  const periods = drawFailingPeriods(random);
  const startSize = random.fraction() < 0.2
    ? Math.max(3, Math.ceil(hosts * random.pick([0.1, 0.3, 0.6])))
    : hosts;
  const fleet = RetryBudgetFleet.create({
    seed,
    hosts,
    startSize,
    requestsPerSecond,
    rule: { ratio: 0.2, extra, windowMs: 10_000 },
    getFailingFraction: (now) =>
      Math.max(
        0,
        ...periods.filter(({ from, until }) => now >= from && now < until).map((
          { fraction },
        ) => fraction),
      ),
  });
  const description = [
    `${startSize} of ${hosts} hosts`,
    ...periods.map(({ from, until, fraction }) =>
      `${from} to ${until}: ${fraction} of the attempts fail`
    ),
  ];
  const count = random.integer(...DISRUPTIONS);
  for (let index = 0; index < count; index++) {
    const at = TRAFFIC_FROM_MS + random.integer(0, LAST_DISRUPTION_MS);
    const schedule = random.pick(DISRUPTION_KINDS);
    description.push(`${at}: ${schedule({ fleet, hosts, random, at })}`);
  }
  fleet.runUntil(TRAFFIC_FROM_MS + TRAFFIC_MS);
  return { fleet, description };
}

function drawFailingPeriods(random: Random) {
  const count = random.integer(...FAILING_PERIODS);
  return Array.from({ length: count }, () => {
    const from = TRAFFIC_FROM_MS + random.integer(0, LAST_DISRUPTION_MS);
    return {
      from,
      until: from + random.integer(...FAILING_MS),
      fraction: random.pick([0.3, 0.6, 0.9]),
    };
  });
}

function drawHosts(hosts: number, random: Random): number[] {
  const all = Array.from({ length: hosts }, (_, index) => index);
  const count = Math.ceil(hosts * random.pick(FRACTIONS));
  return random.shuffle(all).slice(0, count);
}
