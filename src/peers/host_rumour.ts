import { z } from "zod";
import { HOST_PHASES, type HostPhase } from "./host_phase.ts";

/** What one host believes of another. A status outweighs those before it within an incarnation. */
export const HOST_STATUSES = ["alive", "suspect", "failed"] as const;

/** What one host believes of another. */
export type HostStatus = typeof HOST_STATUSES[number];

/** A belief about a host as it is passed on; it travels as a list of numbers. */
export const hostRumourSchema = z.tuple([
  z.number(),
  z.number(),
  z.number().int().min(0).max(HOST_STATUSES.length - 1),
  z.number().int().min(0).max(HOST_PHASES.length - 1),
  z.number().nonnegative(),
]).transform(([name, incarnation, status, phase, agoMs]) => ({
  /** Short name of the host's gossip address. */
  name,
  /** Grows with each start of the host, each change of its phase and each suspicion that it refutes. */
  incarnation,
  status: HOST_STATUSES[status]! as HostStatus,
  phase: HOST_PHASES[phase]! as HostPhase,
  /** Milliseconds since the status was first believed anywhere. */
  agoMs,
}));

/** A belief about a host as it is passed on. */
export type HostRumour = z.infer<typeof hostRumourSchema>;

/** Writes a rumour as the list that `hostRumourSchema` reads.
 * @param rumour The rumour. */
export function packHostRumour(
  rumour: HostRumour,
): z.input<typeof hostRumourSchema> {
  const { name, incarnation, status, phase, agoMs } = rumour;
  return [
    name,
    incarnation,
    HOST_STATUSES.indexOf(status),
    HOST_PHASES.indexOf(phase),
    Math.round(agoMs),
  ];
}

/** Whether a status outweighs another within one incarnation.
 * @param status The status.
 * @param other The other. */
export function outweighs(status: HostStatus, other: HostStatus): boolean {
  return HOST_STATUSES.indexOf(status) > HOST_STATUSES.indexOf(other);
}
