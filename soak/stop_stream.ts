/** One request of a caller for a stream, and how it ended. Times are monotonic milliseconds of the soak process. */
export interface StopStream {
  requestId: string;
  gateway: string;
  sentAt: number;
  endedAt: number | undefined;
  status: number | undefined;
  /** Number of the last event that arrived whole. */
  lastEvent: number;
  /** Number of events of the whole stream. */
  events: number;
  /** Pause before each event at the usual pace, in milliseconds. */
  pauseMs: number;
  /** Whether the connection was closed although the caller could not tell that the response was complete. */
  isCut: boolean;
  /** Number of the request of its caller that resumes or repeats it; 0 for the first one. */
  attempt: number;
}

/** Whether the caller received the whole stream.
 * @param stream The stream. */
export function isWhole({ lastEvent, events, isCut }: StopStream): boolean {
  return !isCut && lastEvent === events;
}

/** Whether the gateway refused the request.
 * @param stream The stream. */
export function isRefused({ status }: StopStream): boolean {
  return status !== undefined && status !== 200;
}
