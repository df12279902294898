import type { FleetView } from "../../src/membership/fleet_view.ts";
import type { JobScheduler } from "../../src/owner/job_scheduler.ts";
import type { LoadTable } from "../../src/owner/load_table.ts";
import type { UpstreamRegistry } from "../../src/owner/upstream_registry.ts";
import type { PlacementTable } from "../../src/placement/placement_table.ts";
import type { Settings } from "../../src/settings/settings_schema.ts";

/** State of a simulated router. */
export interface VirtualRouter {
  id: string;
  settings: Settings;
  scheduler: JobScheduler;
  registry: UpstreamRegistry;
  loads: LoadTable;
  /** Ids of the routers that it can reach, including itself. */
  heard: Set<string>;
  unavailable: Set<string>;
  state: "running" | "paused" | "dead";
  /** Whether it was paused and has not heard from another router since. */
  isStale: boolean;
  /** Actions that were postponed while it was paused. */
  pendingActions: (() => void)[];
  /** Incremented when it is killed, so that actions of an earlier start are dropped. */
  generation: number;
  /** Called when the connections to it are closed. */
  closeHandlers: Set<() => void>;
  viewVersion: number;
  view: FleetView;
  placement: PlacementTable;
}
