/** Phases of a host's lifecycle, in their order on the wire; a host takes requests only in `ready`. */
export const HOST_PHASES = ["starting", "ready", "draining"] as const;

/** Phase of a host's lifecycle. */
export type HostPhase = typeof HOST_PHASES[number];
