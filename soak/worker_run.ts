/** One request that a worker ran. Times are monotonic milliseconds of the soak process. */
export interface WorkerRun {
  requestId: string;
  worker: string;
  service: string;
  method: string;
  path: string;
  body: string;
  /** Values of the prompt headers, which only callers set, separated by `|`: model, tokens and parts of the prompt. */
  prompt: string;
  customer: string | undefined;
  /** Last event that the receiver has; 0 if the stream starts at its beginning. */
  afterEvent: number;
  startedAt: number;
  /** When the connection closed on the worker's side; undefined while the request runs. */
  endedAt: number | undefined;
  /** Status of the response; undefined if none was sent. */
  status: number | undefined;
  /** Whether the worker wrote its complete response and nothing else. */
  isWhole: boolean;
  /** Whether the response announced that the worker leaves. */
  saidLeaving: boolean;
  /** Whether the other side closed the connection before the worker had finished. */
  wasCancelled: boolean;
}
