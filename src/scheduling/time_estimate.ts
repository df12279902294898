/** Expected times of one more request at one upstream, from the moment at which it is sent. */
export interface TimeEstimate {
  /** Time for which the request waits for a slot and for prompts ahead of its own, in milliseconds. */
  waitMs: number;
  /** Time until the first event of a stream, or until the response of any other request, in milliseconds. */
  firstEventMs: number;
  /** Time until the end of the response, in milliseconds. */
  totalMs: number;
  /** Mean absolute error of `firstEventMs` in recent estimates, in milliseconds. */
  errorMs: number;
}
