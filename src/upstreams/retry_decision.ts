/** Whether a host may retry a request, and the figures of its share of the fleet's retry budget on which that is
 * based. */
export interface RetryDecision {
  isAllowed: boolean;
  /** Retries that the host sent within the window, without this one. */
  spent: number;
  /** Retries that the host may send within a window. */
  allowed: number;
  /** Requests that the host received within the window, without the part that it received in place of lost hosts. */
  requests: number;
  /** Number of hosts among which the additional retries of the fleet are divided; undefined while it is not known, so
   * that this host gets none. */
  hosts: number | undefined;
  /** Part of the window that the host's records cover, from 0 to 1. */
  coverage: number;
}
