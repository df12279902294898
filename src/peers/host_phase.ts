/** What a host is doing: it takes requests only in `ready`. */
export const HOST_PHASES = ["starting", "ready", "draining"] as const;

/** What a host is doing. */
export type HostPhase = typeof HOST_PHASES[number];
