/** Phases of a host's lifecycle, in their order on the wire. A host takes requests in `ready` and in `partitioned`, in
 * which it has lost its own paths to all upstreams of a service and relies on other hosts if they reach any. */
export const HOST_PHASES = [
  "starting",
  "ready",
  "draining",
  "partitioned",
] as const;

/** Phase of a host's lifecycle. */
export type HostPhase = typeof HOST_PHASES[number];

/** Whether a host takes requests in a phase.
 * @param phase The phase. */
export function takesRequests(phase: HostPhase): boolean {
  return phase === "ready" || phase === "partitioned";
}
