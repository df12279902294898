import type { IncomingMessage, ServerResponse } from "node:http";
import type { AuditTrail } from "../audit/audit_trail.ts";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { Logger } from "../logging/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import type { RouterStatus } from "../router/router_status.ts";
import type { Settings } from "../settings/settings_schema.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { OutcomeStore } from "./outcome_store.ts";

/** State of a router towards callers. */
export type RouterPhase = "starting" | "serving" | "draining" | "closing";

/** What the handlers of callers' requests work with. */
export interface EntryContext {
  settings: Settings;
  logger: Logger;
  metrics: Metrics;
  audit: AuditTrail;
  configuration: ConfigurationKeeper;
  directory: PeerDirectory;
  dispatcher: Dispatcher;
  outcomes: OutcomeStore;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  getPhase: () => RouterPhase;
  /** Everything that operators see of the router. */
  describe: () => RouterStatus;
}

/** One request of a caller. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  url: URL;
}

/** Answers one kind of request; a thrown failure becomes the answer. */
export type RequestHandler = (
  context: EntryContext,
  exchange: Exchange,
) => Promise<void> | void;
