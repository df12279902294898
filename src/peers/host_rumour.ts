import { HOST_PHASES, type HostPhase } from "./host_phase.ts";
import { numberListSchema } from "./message_schemas.ts";

/** Membership statuses of a host, in their order on the wire; within an incarnation a status overrides those before
 * it. */
export const HOST_STATUSES = ["alive", "suspect", "failed"] as const;

/** Membership status of a host. */
export type HostStatus = typeof HOST_STATUSES[number];

/** A membership update about a host, disseminated by gossip. */
export interface HostRumour {
  /** Hash of the host's gossip address. */
  name: number;
  /** Increases with each start of the host, each change of its phase and each suspicion that it refutes. */
  incarnation: number;
  status: HostStatus;
  phase: HostPhase;
  /** Milliseconds since the status was first set on any host. */
  agoMs: number;
}

/** Numbers per rumour in a list. */
const RUMOUR_LENGTH = 5;

/** Rumours as one list of numbers; rejects unknown statuses and phases, negative ages, and an incomplete last
 * rumour. */
export const hostRumoursSchema = numberListSchema
  .refine(isWellFormed, "truncated or invalid list of rumours")
  .transform(decodeRumours);

/** Encodes rumours as the list that `hostRumoursSchema` decodes.
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

/** Whether a status overrides another within the same incarnation.
 * @param status The status.
 * @param other The status that it may override. */
export function overrides(status: HostStatus, other: HostStatus): boolean {
  return HOST_STATUSES.indexOf(status) > HOST_STATUSES.indexOf(other);
}

function isWellFormed(list: readonly number[]): boolean {
  if (list.length % RUMOUR_LENGTH !== 0) return false;
  for (let index = 0; index < list.length; index += RUMOUR_LENGTH) {
    const isKnown = HOST_STATUSES[list[index + 2]!] !== undefined &&
      HOST_PHASES[list[index + 3]!] !== undefined;
    if (!isKnown || list[index + 4]! < 0) return false;
  }
  return true;
}

function decodeRumours(list: readonly number[]): HostRumour[] {
  const rumours: HostRumour[] = [];
  for (let index = 0; index < list.length; index += RUMOUR_LENGTH) {
    rumours.push({
      name: list[index]!,
      incarnation: list[index + 1]!,
      status: HOST_STATUSES[list[index + 2]!]!,
      phase: HOST_PHASES[list[index + 3]!]!,
      agoMs: list[index + 4]!,
    });
  }
  return rumours;
}
