import { HOST_PHASES, type HostPhase } from "./host_phase.ts";
import { numberListSchema } from "./told_schemas.ts";

/** What one host believes of another. A status outweighs those before it within an incarnation. */
export const HOST_STATUSES = ["alive", "suspect", "failed"] as const;

/** What one host believes of another. */
export type HostStatus = typeof HOST_STATUSES[number];

/** A belief about a host as it is passed on. */
export interface HostRumour {
  /** Short name of the host's gossip address. */
  name: number;
  /** Grows with each start of the host, each change of its phase and each suspicion that it refutes. */
  incarnation: number;
  status: HostStatus;
  phase: HostPhase;
  /** Milliseconds since the status was first believed anywhere. */
  agoMs: number;
}

/** Numbers that one rumour takes in a list. */
const NUMBERS_PER_RUMOUR = 5;

/** Rumours as one list of numbers; numbers that name no status or phase, and a rest, are refused. */
export const hostRumoursSchema = numberListSchema
  .refine(isWellFormed, "must be whole rumours")
  .transform(readRumours);

/** Writes rumours as the list that `hostRumoursSchema` reads.
 * @param rumours The rumours. */
export function packHostRumours(rumours: readonly HostRumour[]): number[] {
  return rumours.flatMap(({ name, incarnation, status, phase, agoMs }) => [
    name,
    incarnation,
    HOST_STATUSES.indexOf(status),
    HOST_PHASES.indexOf(phase),
    Math.round(agoMs),
  ]);
}

/** Whether a status outweighs another within one incarnation.
 * @param status The status.
 * @param other The other. */
export function outweighs(status: HostStatus, other: HostStatus): boolean {
  return HOST_STATUSES.indexOf(status) > HOST_STATUSES.indexOf(other);
}

function isWellFormed(list: readonly number[]): boolean {
  if (list.length % NUMBERS_PER_RUMOUR !== 0) return false;
  for (let at = 0; at < list.length; at += NUMBERS_PER_RUMOUR) {
    const isKnown = HOST_STATUSES[list[at + 2]!] !== undefined &&
      HOST_PHASES[list[at + 3]!] !== undefined;
    if (!isKnown || list[at + 4]! < 0) return false;
  }
  return true;
}

function readRumours(list: readonly number[]): HostRumour[] {
  const rumours: HostRumour[] = [];
  for (let at = 0; at < list.length; at += NUMBERS_PER_RUMOUR) {
    rumours.push({
      name: list[at]!,
      incarnation: list[at + 1]!,
      status: HOST_STATUSES[list[at + 2]!]!,
      phase: HOST_PHASES[list[at + 3]!]!,
      agoMs: list[at + 4]!,
    });
  }
  return rumours;
}
