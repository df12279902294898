/** One request as a worker ran it, in monotonic milliseconds of the soak's process. */
export interface WorkerRun {
  requestId: string;
  worker: string;
  service: string;
  method: string;
  path: string;
  body: string;
  /** Headers that only callers set: model, tokens and parts of a prompt. */
  prompt: string;
  customer: string | undefined;
  /** Last event that the receiver has, 0 where the stream starts at its beginning. */
  afterEvent: number;
  startedAt: number;
  /** When it was over on the worker's side. */
  endedAt: number | undefined;
  /** Status that was answered, where one was. */
  status: number | undefined;
  /** Whether the worker wrote its whole answer, and nothing but that. */
  isWhole: boolean;
  /** Whether its answer said that the worker leaves. */
  saidLeaving: boolean;
  /** Whether the other side closed the connection before the worker was done. */
  wasCancelled: boolean;
}
