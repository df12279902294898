import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { HeaderCodec } from "../forward/caller_headers.ts";
import type { Logger } from "../logging/logger.ts";
import type { PublicationGate } from "../published/publication_gate.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import { CallHandler } from "./call_handler.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GracefulStop } from "./graceful_stop.ts";
import type { HostStatus } from "./host_status.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { StopAdmission } from "./stop_admission.ts";
import { StreamResumer } from "./stream_resumer.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";

/** The parts of a gateway that its call handler depends on. */
export interface CallHandlerParts {
  logger: Logger;
  metrics: GatewayMetrics;
  codec: HeaderCodec;
  replica: PublicationReplica;
  gate: PublicationGate;
  chooser: UpstreamChooser;
  guard: CrashGuard;
  status: HostStatus;
  stop: GracefulStop;
  /** Resolves when the first configuration is received. */
  initialRoutes: Promise<void>;
  /** Resolves when the versions that have served before this host started are known, or after a short time; undefined if
   * it is not learning them. */
  awaitVersions: () => Promise<void> | undefined;
  /** Returns undefined until the communication with other hosts has started. */
  getPeerNetwork: () => PeerNetwork | undefined;
}

/** Creates the call handler of a gateway.
 * @param parts The parts that it depends on. */
export function createCallHandler(parts: CallHandlerParts): CallHandler {
  const { logger, metrics, codec, guard, initialRoutes } = parts;
  const { replica, chooser, status, stop, getPeerNetwork } = parts;
  const handler: CallHandler = CallHandler.create({
    logger,
    metrics,
    codec,
    getRoutes: () => replica.routes,
    gate: parts.gate,
    initialRoutes,
    mayAcceptKeys: () => status.mayAcceptKeys,
    getPublicationAgeMs: () => replica.ageMs,
    isLeaving: () => stop.shouldCloseConnections,
    isStopping: () => stop.hasStarted,
    stopAdmission: StopAdmission.create({
      logger,
      metrics: metrics.stops,
      stop,
      hasOtherHost: () => status.hasOtherHost,
      getRetryAfterMs: () => status.stopRetryMs,
      getPaceRatio: (service) => handler.getPaceRatio(service),
    }),
    onRequestAdmitted: (service) => chooser.recordRequest(service),
    lookUpPrompt: (sharedParts) => {
      const deepest = sharedParts.at(-1);
      return deepest && chooser.sharesPlacement(sharedParts)
        ? getPeerNetwork()?.lookUpPart(deepest.name)
        : undefined;
    },
    upstreamAccess: chooser.createAccess(),
    streams: {
      announce: (key, record) =>
        getPeerNetwork()?.streams.announce(key, record),
      release: (key, record) => getPeerNetwork()?.streams.release(key, record),
    },
    resumer: createResumer(parts),
    guard,
  });
  return handler;
}

function createResumer(
  parts: CallHandlerParts,
): StreamResumer {
  const { logger, metrics, replica, chooser, getPeerNetwork } = parts;
  return StreamResumer.create({
    logger,
    lookUp: (question) => getPeerNetwork()?.streams.lookUp(question),
    canContinue: (origin) => chooser.upstreams.canContinue(origin),
    awaitPublication: (moment, limitMs) =>
      parts.gate.waitUntilComplete(moment, limitMs),
    isPlatformUnavailable: () => replica.isPlatformUnavailable,
    awaitHistory: parts.awaitVersions,
    onDecision: (decision) => metrics.recordResume(decision),
  });
}
