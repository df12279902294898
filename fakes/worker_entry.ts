/** What differs between the entries of workers. */
export interface WorkerEntryOptions {
  service: string;
  /** Address as ip:port. */
  address: string;
  state: "ready" | "draining";
  slots: number;
  /** Unix milliseconds of its start. */
  startedAt: number;
}

/** The entry of a worker as the platform's store holds it, whole.
 * @param options What differs. */
export function buildWorkerEntry(options: WorkerEntryOptions) {
  const { startedAt, ...said } = options;
  return {
    ...said,
    zone: "h",
    version: "v1",
    cold_left_ms: 0,
    sequence: 1,
    born: startedAt,
  };
}
