import type { IncomingMessage, ServerResponse } from "node:http";
import type { AuditTrail } from "../audit/audit_trail.ts";
import type { ConfigurationReplica } from "../configuration/configuration_replica.ts";
import type { Logger } from "../logging/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import type { RequestReceipt } from "../http/request_receipt.ts";
import type { RouterStatus } from "../router/router_status.ts";
import type { Settings } from "../settings/settings_schema.ts";
import type { DrainAdmission } from "./drain_admission.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { OutcomeStore } from "./outcome_store.ts";

/** Phase of a router's life cycle. */
export type RouterPhase = "starting" | "serving" | "draining" | "closing";

/** Dependencies of the request handlers. */
export interface EntryContext {
  settings: Settings;
  logger: Logger;
  metrics: Metrics;
  audit: AuditTrail;
  configuration: ConfigurationReplica;
  connectionPool: PeerConnectionPool;
  dispatcher: Dispatcher;
  outcomes: OutcomeStore;
  drain: DrainAdmission;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  getPhase: () => RouterPhase;
  /** Returns the router's status for operators. */
  describe: () => RouterStatus;
}

/** A caller's HTTP request and its response. */
export interface HttpExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Tells that the rest of the request's body can't be received. */
  receipt: RequestReceipt;
  url: URL;
}

/** Handles requests of one route; a thrown failure is sent as the response. */
export type RequestHandler = (
  context: EntryContext,
  exchange: HttpExchange,
) => Promise<void> | void;
