/** Whether an upstream accepts further requests, as stated by one of its responses. */
export interface AvailabilityNotice {
  /** Time for which this host should send the upstream no requests, in milliseconds; undefined if the response names
   * none. */
  backoffMs: number | undefined;
  /** Whether the upstream is leaving. */
  isLeaving: boolean;
}
