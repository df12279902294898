import type { WorkerDecline } from "./worker_decline.ts";
import type { WorkerRun } from "./worker_run.ts";

/** What workers did with the requests that reached them, over all their starts. */
export interface WorkerLedger {
  runs: WorkerRun[];
  declines: WorkerDecline[];
}
