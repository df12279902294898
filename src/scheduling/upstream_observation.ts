/** Load that an upstream reported with a response. */
export interface ObservedReport {
  running: number;
  waiting: number;
  /** Time of a unit of work relative to the usual time; undefined if the upstream does not report it. */
  slowdown: number | undefined;
  /** Age of the report, in milliseconds. */
  ageMs: number;
}

/** What a host knows of the load of one upstream at one moment. */
export interface UpstreamObservation {
  /** Hash of the upstream instance. */
  instanceHash: number;
  /** Requests that the upstream runs at a time. */
  slots: number;
  /** Requests of this host on the upstream; exact. */
  ownRequests: number;
  /** Requests of the other hosts on the upstream, as last told. */
  foreignRequests: number;
  /** Mean age of the counts of other hosts, in milliseconds. */
  countAgeMs: number;
  /** Latest report of the upstream; undefined if there is none. */
  report: ObservedReport | undefined;
  /** Time until the upstream has prefilled the prompts that it was sent, at its usual speed, in milliseconds. */
  prefillBacklogMs: number;
}
