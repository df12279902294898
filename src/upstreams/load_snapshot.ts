/** Ages of the request counts from other hosts. */
export interface CountAges {
  /** Number of other hosts whose counts are used. */
  countedHosts: number;
  /** Mean age of their counts, in milliseconds; 0 if none are used. */
  countAgeMs: number;
  /** Age of the oldest count used, in milliseconds; 0 if none are used. */
  oldestCountAgeMs: number;
}

/** Requests on an upstream as known to this process at one moment, and the age of that knowledge. */
export interface LoadSnapshot extends CountAges {
  /** Requests of this process; exact. */
  own: number;
  /** Requests of the other hosts, as last reported. */
  foreign: number;
  /** Running and waiting requests that the upstream last reported; undefined if it reported none. */
  reported: number | undefined;
  /** Age of that report, in milliseconds; undefined if there is none. */
  reportAgeMs: number | undefined;
}
