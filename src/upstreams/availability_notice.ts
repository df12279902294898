/** What one answer of an upstream says of whether it takes further requests. */
export interface AvailabilityNotice {
  /** Time for which the upstream wants no request from this host, in milliseconds; undefined where it names none. */
  backoffMs: number | undefined;
  /** Whether the upstream is leaving. */
  isLeaving: boolean;
}
