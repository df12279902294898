import type { CallerAttempt } from "./caller_attempt.ts";
import type { FaultLog } from "./fault_log.ts";
import type { WorkerDecline } from "./worker_decline.ts";
import type { WorkerRun } from "./worker_run.ts";

/** A version of the configuration, and when the store took it. */
export interface PublishedVersion {
  version: number;
  /** Key that only this version holds. */
  key: string;
  at: number;
}

/** A worker's word that it leaves, and when the store took it. */
export interface Leaving {
  worker: string;
  at: number;
}

/** A planned stop of a gateway. */
export interface Stop {
  gateway: string;
  life: number;
  at: number;
}

/** Everything that callers, workers and the store saw in one run. */
export interface Evidence {
  attempts: readonly CallerAttempt[];
  runs: readonly WorkerRun[];
  declines: readonly WorkerDecline[];
  versions: readonly PublishedVersion[];
  leavings: readonly Leaving[];
  stops: readonly Stop[];
  faults: FaultLog;
  /** Longest time for which the soak's own process did not run, in milliseconds. */
  lagMs: number;
}
