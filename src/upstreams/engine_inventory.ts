/** Asks engines which parts of prompts they keep; an adapter implements it for one platform. */
export interface EngineInventory {
  /** Ids of the parts that an engine keeps. The engine's work waits while it lists them, so it is asked rarely.
   * @param address Address of the engine, as ip:port.
   * @throws Error where the engine does not answer. */
  listParts(address: string): Promise<string[]>;
  /** Closes the connections. */
  close(): Promise<void>;
}
