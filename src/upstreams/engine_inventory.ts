import type { AvailabilityNotice } from "./availability_notice.ts";

/** What an engine says that it keeps. */
export interface EngineList {
  /** Ids of the parts. */
  parts: readonly string[];
  /** Unix milliseconds of the engine's start; undefined where it tells none. */
  startedAt: number | undefined;
}

/** An engine's answer to the question what it keeps. */
export interface EngineAnswer {
  /** Status code. */
  status: number;
  /** What it says of whether the engine takes further requests. */
  availability: AvailabilityNotice;
  /** Undefined where the engine gave no list. */
  list: EngineList | undefined;
}

/** Asks engines which parts of prompts they keep; an adapter implements it for one platform. */
export interface EngineInventory {
  /** Lists the parts that an engine keeps. The engine's work waits while it lists them, so it is asked rarely.
   * @param address Address of the engine, as ip:port.
   * @throws Error where the engine does not answer. */
  listParts(address: string): Promise<EngineAnswer>;
  /** Closes the connections. */
  close(): Promise<void>;
}
