import type { CallerAttempt } from "./caller_attempt.ts";
import type { FaultLog } from "./fault_log.ts";
import type { Overload } from "./overload.ts";
import type { WorkerDecline } from "./worker_decline.ts";
import type { WorkerRun } from "./worker_run.ts";

/** A version of the configuration and the time at which it was published. */
export interface PublishedVersion {
  version: number;
  /** API key that only this version contains. */
  key: string;
  at: number;
}

/** A worker's announcement in the store that it leaves, and its time. An entry that became invalid counts as one. */
export interface LeaveAnnouncement {
  worker: string;
  at: number;
}

/** A graceful stop of a gateway. */
export interface GracefulStop {
  gateway: string;
  gatewayStart: number;
  at: number;
}

/** Observations of callers, workers and the store in one run, which the checks of invariants work on. */
export interface Evidence {
  attempts: readonly CallerAttempt[];
  runs: readonly WorkerRun[];
  declines: readonly WorkerDecline[];
  versions: readonly PublishedVersion[];
  leaveAnnouncements: readonly LeaveAnnouncement[];
  gracefulStops: readonly GracefulStop[];
  overloads: readonly Overload[];
  faults: FaultLog;
  /** Longest event loop delay of the soak process, in milliseconds. */
  lagMs: number;
}
