/** How old other hosts' counts of requests are. */
export interface CountAges {
  /** Other hosts whose counts are used. */
  countedHosts: number;
  /** Mean age of their counts, in milliseconds; 0 where none are used. */
  countAgeMs: number;
  /** Age of the oldest count used, in milliseconds; 0 where none are used. */
  oldestCountAgeMs: number;
}

/** What this process knew of the requests on an upstream at one moment, and how old that was. */
export interface LoadSnapshot extends CountAges {
  /** Requests of this process, exact. */
  own: number;
  /** Requests of the other hosts, as they last told. */
  foreign: number;
  /** Requests that the upstream last reported, running and waiting; undefined where it reported none. */
  reported: number | undefined;
  /** Age of that report, in milliseconds; undefined where there is none. */
  reportAgeMs: number | undefined;
}
