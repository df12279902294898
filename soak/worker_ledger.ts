import type { WorkerDecline } from "./worker_decline.ts";
import type { WorkerRun } from "./worker_run.ts";

/** Requests that workers ran or declined, over all their starts. */
export interface WorkerLedger {
  runs: WorkerRun[];
  declines: WorkerDecline[];
}
