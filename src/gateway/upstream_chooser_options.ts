import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import type { Service } from "../published/configuration_schema.ts";
import type { Random } from "../random/random.ts";
import type { AvailabilityChange } from "../upstreams/availability.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import type { RetryDecision } from "../upstreams/retry_decision.ts";
import type { SendSlotMessage } from "../upstreams/slot_message.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { HealthSignal } from "../upstreams/upstream_health.ts";
import type { UpstreamNetwork } from "../upstreams/upstream_network.ts";
import type { UpstreamTableOptions } from "../upstreams/upstream_table.ts";
import type { AdmissionMetrics } from "./admission_log.ts";
import type { RepeatControlOptions } from "./repeat_control.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** The settings that the choice of an upstream depends on. */
export type ChooserSettings = Pick<
  GatewaySettings,
  | "boundMultiple"
  | "hall"
  | "isFirstStart"
  | "leaveWithinMs"
  | "retryExtra"
  | "retryRatio"
  | "retryWindowMs"
>;

/** Dependencies and callbacks of an `UpstreamChooser`. */
export interface UpstreamChooserOptions {
  logger: Logger;
  /** Id of this host. */
  hostId: string;
  /** Returns the current settings; called for each choice, but `leaveWithinMs` is read once. */
  getSettings: () => ChooserSettings;
  /** Returns a published service, or undefined if there is none of that name. */
  getService: (name: string) => Service | undefined;
  /** Number of live hosts, including this one. */
  countHosts: () => number;
  /** Returns the ids of all other known hosts, including unreachable ones. */
  getKnownHostIds: () => readonly string[];
  /** Whether the known hosts are likely all hosts of the fleet. */
  knowsFleet: () => boolean;
  /** Gossip address of this host. */
  gossipAddress: string;
  /** Returns the gossip address of another host; undefined if it is not known. */
  getGossipAddress: (hostId: string) => string | undefined;
  /** Sends a message about lent slots to another host. */
  sendSlotMessage: SendSlotMessage;
  /** Returns the number of hosts that may share a fleet-wide budget, including recently lost ones; undefined while it
   * is not known. */
  getFleetSize: () => number | undefined;
  /** Returns the part of the fleet's hosts that has not been lost within a time, in milliseconds. */
  getRetainedFraction: (withinMs: number) => number;
  /** Monotonic milliseconds until which an entry may be missing only because it expired in an outage of the
   * platform. */
  getLapseEndsAt: () => number;
  /** Whether requests may be sent by the publication that this host knows. */
  isPublicationUsable: () => boolean;
  /** Monotonic milliseconds up to which all published changes are known, apart from those that are being applied. */
  getCompleteUntil: () => number;
  /** Whether other hosts look up cached prompt parts in the directory of a large fleet. */
  usesDirectory: () => boolean;
  /** Called when there are prefix updates to send to other hosts. */
  onPrefixUpdates: () => void;
  /** Called with the previous state of an upstream that has restarted under its id, and the time of the start. */
  onRestart: UpstreamTableOptions["onRestart"];
  /** Called when an upstream reports a change of whether it accepts requests. */
  onAvailabilityChange: (change: AvailabilityChange) => void;
  /** Called with each upstream that is removed from the table. */
  onRemove: (upstream: Upstream) => void;
  /** Called for each attempt, with the known load of the upstream. */
  onSend: (choice: UpstreamChoice, load: LoadSnapshot) => void;
  /** Called with the absolute error of each expected time to a first event, in milliseconds. */
  onEstimateError?: (errorMs: number) => void;
  /** Called with each decision on a retry, with the name of its service. */
  onRetryDecision: (service: string, decision: RetryDecision) => void;
  /** Called with each decision whether a repeat gives way, with the name of its service. */
  onRepeatDecision: RepeatControlOptions["onDecision"];
  /** Called when this host sees that a service has more or less room. */
  onRoomChange: RepeatControlOptions["onRoomChange"];
  /** Called with each upstream that no host reaches any more, if requests are scheduled by time. */
  onLost: (upstream: Upstream) => void;
  /** Counts the calls that wait or are refused before they are sent; by default they are only logged. */
  admissionMetrics?: AdmissionMetrics;
  /** Called with each health signal of an upstream. */
  onHealthSignal: (signal: HealthSignal) => void;
  /** Establishes connections to upstreams; defaults to connections without other hosts. */
  network?: UpstreamNetwork;
  /** Checks the path to an upstream; resolves with whether this host has connected to it. */
  checkPath?: (upstream: Upstream) => Promise<boolean>;
  /** Checks whether the process of an upstream still runs; by default all do. */
  isRunning?: (upstream: Upstream) => Promise<boolean>;
  /** Called with each upstream that this host has connected to although others reported an outage. */
  onOutageDisproved: (upstream: Upstream) => void;
  /** Defaults to the clock and timers of the process. */
  timeline?: Timeline;
  /** Defaults to an unseeded generator. */
  random?: Random;
}
