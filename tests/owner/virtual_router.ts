import type { FleetView } from "../../src/membership/fleet_view.ts";
import type { JobScheduler } from "../../src/owner/job_scheduler.ts";
import type { LoadBook } from "../../src/owner/load_book.ts";
import type { UpstreamRegistry } from "../../src/owner/upstream_registry.ts";
import type { PlacementTable } from "../../src/placement/placement_table.ts";
import type { Settings } from "../../src/settings/settings_schema.ts";

/** A router of the model. */
export interface VirtualRouter {
  id: string;
  settings: Settings;
  scheduler: JobScheduler;
  registry: UpstreamRegistry;
  loads: LoadBook;
  /** Routers that it hears, itself included. */
  heard: Set<string>;
  unavailable: Set<string>;
  state: "running" | "paused" | "dead";
  /** Whether it was paused and has heard nobody since. */
  isStale: boolean;
  /** What came in while it was paused. */
  pendingActions: (() => void)[];
  /** Increases with each start. */
  incarnation: number;
  closeHandlers: Set<() => void>;
  viewVersion: number;
  view: FleetView;
  placement: PlacementTable;
}
