import type { ServerResponse } from "node:http";
import type { LedgerRun } from "./ledger.ts";

/** One response that a fake engine is generating. */
export interface EngineStream {
  run: LedgerRun;
  prompt: string;
  priority: number;
  /** Chunks generated so far. */
  chunks: number;
  total: number;
  reader: ServerResponse | undefined;
  nextIndex: number;
  /** Id of the attempt that reads the stream now. */
  attempt: string;
  abandonedAt: number | undefined;
}
