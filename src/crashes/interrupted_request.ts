/** Maximum number of prompt parts by which a request is tracked, so that reports of it fit into a datagram. */
export const MAX_TRACKED_PARTS = 16;

/** Properties of a request by which requests that crash upstreams are recognized. */
export interface TrackedRequest {
  /** Id of the request, for the log. */
  readonly requestId: string;
  /** Equal for identical requests of the same customer. */
  readonly fingerprint: number;
  /** Hashes of the first prompt parts that other requests may share. */
  readonly parts: readonly number[];
}

/** A request whose connection ended before its response was complete. */
export interface InterruptedRequest extends TrackedRequest {
  /** Points that the request is given if the upstream crashed. */
  readonly points: number;
}
