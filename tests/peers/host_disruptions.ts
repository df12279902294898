import type { Random } from "../../src/random/random.ts";

/** Minimum and maximum time for which a killed host is down, in milliseconds. */
const DOWN_MS = [100, 3_000] as const;
/** Time for which a host that restarts in turn is down, in milliseconds. */
const RESTART_MS = 400;
/** Time between two hosts of seven that restart in turn, in milliseconds. */
const ROLL_GAP_MS = 700;

/** A fleet in virtual time whose hosts can be killed. */
export interface KillableFleet {
  /** Schedules an action at virtual milliseconds. */
  at(at: number, action: () => void): void;
  /** Kills hosts at once and starts them again after a time in milliseconds. */
  kill(indices: readonly number[], downMs: number): void;
}

/** What a disruption is scheduled on. */
export interface DisruptionContext<Fleet extends KillableFleet> {
  fleet: Fleet;
  hosts: number;
  random: Random;
  /** Virtual milliseconds. */
  at: number;
}

/** Schedules a disruption; returns its description. */
export type Disruption<Fleet extends KillableFleet> = (
  context: DisruptionContext<Fleet>,
) => string;

/** Disruptions that kill hosts. */
export const KILL_DISRUPTIONS: Readonly<
  Record<string, Disruption<KillableFleet>>
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
      fleet.at(at + turn * gapMs, () => fleet.kill([index], RESTART_MS));
    }
    return "all hosts restart in turn";
  },
};

/** Draws some hosts.
 * @param hosts Number of hosts.
 * @param fraction Fraction of them.
 * @param random Source of randomness. */
export function drawHosts(
  hosts: number,
  fraction: number,
  random: Random,
): number[] {
  const all = Array.from({ length: hosts }, (_, index) => index);
  return random.shuffle(all).slice(0, Math.ceil(hosts * fraction));
}
