/** Reads which instance answers at an address; implemented by the adapter of a platform. */
export interface InstanceReader {
  /** Reads the id of the instance that answers a liveness check.
   * @param address Address, as ip:port.
   * @param path Path of the liveness check.
   * @returns The id; undefined if the instance does not state it, for instance because it is full.
   * @throws Error if nothing answers in time. */
  readInstanceId(address: string, path: string): Promise<string | undefined>;
  /** Closes all connections. */
  close(): Promise<void>;
}
