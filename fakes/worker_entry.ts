/** Fields that differ between the entries of workers. */
export interface WorkerEntryOptions {
  service: string;
  /** Address as ip:port. */
  address: string;
  state: "ready" | "draining";
  slots: number;
  /** Start time in Unix milliseconds. */
  startedAt: number;
  /** Hall of the worker; `h` by default. */
  zone?: string;
  /** Software version; `v1` by default. */
  version?: string;
}

/** Builds the complete entry of a worker as the platform's store holds it.
 * @param options Fields that differ between workers. */
export function buildWorkerEntry(options: WorkerEntryOptions) {
  const { startedAt, ...published } = options;
  return {
    zone: "h",
    version: "v1",
    ...published,
    cold_left_ms: 0,
    sequence: 1,
    born: startedAt,
  };
}
