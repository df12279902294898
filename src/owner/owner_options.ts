import type { ActorSystem } from "../actors/actor.ts";
import type { AuditTrail } from "../audit/audit_trail.ts";
import type { PauseDetector } from "../clock/pause_detector.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import type { Settings } from "../settings/settings_schema.ts";
import type { LoadTable } from "./load_table.ts";

/** Dependencies of the owner. */
export interface OwnerOptions {
  settings: Settings;
  system: ActorSystem;
  pauseDetector: PauseDetector;
  logger: Logger;
  audit: AuditTrail;
  loads: LoadTable;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Called when the load of an upstream has grown so much that it must be advertised to peers at once. */
  onLoadGrew: () => void;
}
