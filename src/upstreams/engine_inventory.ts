import type { AvailabilityNotice } from "./availability_notice.ts";

/** The prompt parts that an engine has cached. */
export interface CachedPartList {
  /** Ids of the prompt parts. */
  parts: readonly string[];
  /** Start time of the engine in Unix milliseconds; undefined if the engine reports none. */
  startedAt: number | undefined;
}

/** An engine's response to a request for its cached prompt parts. */
export interface InventoryResponse {
  /** Status code. */
  status: number;
  /** Whether the engine accepts further requests. */
  availability: AvailabilityNotice;
  /** Cached parts; undefined if the response contains no list. */
  list: CachedPartList | undefined;
}

/** Queries engines for their cached prompt parts; implemented by the adapter of a platform. */
export interface EngineInventory {
  /** Lists the parts that an engine has cached. The engine pauses its work while it lists them, so call this rarely.
   * @param address Address of the engine, as ip:port.
   * @throws Error if the engine does not answer. */
  listParts(address: string): Promise<InventoryResponse>;
  /** Closes all connections to engines. */
  close(): Promise<void>;
}
