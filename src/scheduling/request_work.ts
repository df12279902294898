/** The work that one request causes at an upstream. */
export interface RequestWork {
  /** Name of the request's service. */
  service: string;
  /** Name of the request's route; requests of one route take similar amounts of work. */
  route: string;
  /** Prompt tokens that the upstream has to prefill; 0 if the upstream is no engine. */
  prefillTokens: number;
  /** Prompt tokens that the upstream fetches from another one; none by default. */
  fetchTokens?: number;
  /** Whether the upstream is in another hall than this host; false by default. */
  isOtherHall?: boolean;
  /** Whether the response is a stream, whose objective applies to its first event. */
  isStream: boolean;
}
