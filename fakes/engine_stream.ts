import type { ServerResponse } from "node:http";
import type { LedgerRun } from "./ledger.ts";

/** One answer that a stand-in engine makes. */
export interface EngineStream {
  run: LedgerRun;
  prompt: string;
  priority: number;
  /** Pieces that exist. */
  made: number;
  total: number;
  reader: ServerResponse | undefined;
  nextIndex: number;
  /** The sending that reads the stream now. */
  attempt: string;
  abandonedAt: number | undefined;
}
