import { readClock } from "../clock/clock.ts";
import type { PauseDetector } from "../clock/pause_detector.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { Logger } from "../logging/logger.ts";
import type { PublicationGate } from "../published/publication_gate.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import type { CallHandler } from "./call_handler.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { checkUpstreamRuns } from "../upstreams/check_upstream_runs.ts";
import { InstanceCheck } from "../upstreams/instance_check.ts";
import type { InstanceReader } from "../upstreams/instance_reader.ts";
import { UpstreamChooser } from "./upstream_chooser.ts";
import type { UpstreamPaths } from "./upstream_paths.ts";

/** The parts of a gateway that its chooser depends on. Those that are created after it are read when they are used. */
export interface ChooserParts {
  logger: Logger;
  metrics: GatewayMetrics;
  guard: CrashGuard;
  paths: UpstreamPaths;
  pauses: PauseDetector;
  instances: InstanceReader;
  /** Returns the current settings; the id and the gossip address are read once. */
  getSettings: () => GatewaySettings;
  getReplica: () => PublicationReplica;
  getGate: () => PublicationGate;
  getHandler: () => CallHandler;
  /** Returns undefined until the communication with other hosts has started. */
  getPeerNetwork: () => PeerNetwork | undefined;
}

/** Creates the chooser of a gateway.
 * @param parts The parts that it depends on. */
export function createChooser(parts: ChooserParts): UpstreamChooser {
  const { logger, metrics, guard, paths, pauses, getSettings } = parts;
  const { getReplica, getHandler, getPeerNetwork } = parts;
  const { id, gossipAddress } = getSettings();
  const instances = InstanceCheck.create({
    logger,
    reader: parts.instances,
    getHealthPath: (name) => getReplica().routes?.getService(name)?.healthPath,
  });
  return UpstreamChooser.create({
    logger,
    hostId: id,
    getSettings,
    getService: (name) => getReplica().routes?.getService(name),
    countHosts: () => 1 + (getPeerNetwork()?.getLiveHosts().length ?? 0),
    getKnownHostIds: () => getPeerNetwork()?.getKnownHostIds() ?? [],
    knowsFleet: () => getPeerNetwork()?.knowsFleet ?? false,
    gossipAddress,
    getGossipAddress: (hostId) => getPeerNetwork()?.getGossipAddress(hostId),
    sendSlotMessage: (address, message) =>
      getPeerNetwork()?.sendSlotMessage(address, message),
    getFleetSize: () => getPeerNetwork()?.fleetSize,
    getRetainedFraction: (withinMs) =>
      getPeerNetwork()?.getRetainedFraction(withinMs) ?? 1,
    getLapseEndsAt: () => getReplica().lapseEndsAt,
    isPublicationUsable: () => parts.getGate().isOpen,
    getCompleteUntil: () => readClock() - getReplica().ageMs,
    usesDirectory: () => getPeerNetwork()?.usesDirectory ?? false,
    onPrefixUpdates: () => getPeerNetwork()?.announcePrefixUpdates(),
    onRestart: (before, startedAt) =>
      getHandler().failAttemptsOn(before, startedAt),
    onAvailabilityChange: (change) => metrics.recordAvailability(change),
    onRemove: (upstream) => {
      guard.recordRemoval(upstream.instanceHash);
      paths.monitor.remove(upstream);
    },
    onSend: ({ basis }, { countAgeMs }) => {
      metrics.recordSend(basis, countAgeMs);
      metrics.publication.recordSend(getReplica().ageMs);
    },
    onEstimateError: (errorMs) => metrics.recordEstimateError(errorMs),
    onRetryDecision: (service, decision) =>
      metrics.recordRetryDecision(service, decision),
    onRepeatDecision: (service, repeat) =>
      metrics.recordRepeatDecision(service, repeat),
    onRoomChange: (service, room) => metrics.recordRoom(service, room),
    onLost: (upstream) => getHandler().leaveLostUpstream(upstream),
    admissionMetrics: metrics,
    onOutageDisproved: (upstream) =>
      getPeerNetwork()?.outages.contradict(upstream),
    onHealthSignal: (signal) => metrics.recordAttempt(signal),
    network: paths.monitor,
    checkPath: (upstream) => paths.monitor.check(upstream),
    isRunning: async (upstream) => {
      const result = await checkUpstreamRuns({
        checkAddress: () => paths.monitor.checkCrash(upstream),
        isSameInstance: () => instances.isSame(upstream),
      }, pauses);
      logger.info({ upstream: upstream.id, result }, "unframed_end_checked");
      return result === "taken";
    },
  });
}
