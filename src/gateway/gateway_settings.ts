import { z } from "zod";

const address = z.string().regex(/^[\d.]+:\d+$/, "must be ip:port");
const milliseconds = z.number().nonnegative();

/** The schema of a gateway's settings. */
export const gatewaySettingsSchema = z.object({
  /** Id of the host, which stays the same across restarts. */
  id: z.string().min(1),
  hall: z.string(),
  /** Address for callers' requests. */
  callerAddress: address,
  /** Address of the readiness check. */
  readinessAddress: address,
  /** Address for callers' address look-ups. */
  locateAddress: address,
  /** Address from which other hosts fetch the publication, the known hosts and the prefix index. */
  peerAddress: address,
  /** Address for gossip from other hosts. */
  gossipAddress: address,
  /** Address of the metrics. */
  metricsAddress: address,
  /** Gossip addresses of the hosts to contact first. */
  seedAddresses: z.array(address),
  platformAddress: address,
  /** Whether the whole fleet starts for the first time, so that no engine has anything cached yet. */
  isFirstStart: z.boolean(),
  /** Time after which a draining upstream may get no new requests. */
  leaveWithinMs: milliseconds,
  /** Time after which a changed configuration must be in force. */
  configurationWithinMs: milliseconds,
  /** Time that a graceful stop may take. */
  stopTimeoutMs: milliseconds,
  /** Time after which a revoked key is no longer accepted; undefined if there is no limit. */
  keyRevocationLimitMs: milliseconds.optional(),
  /** Fleet-wide retry budget per request. */
  retryRatio: z.number().nonnegative(),
  retryWindowMs: z.number().positive(),
  /** Fleet-wide retry budget per window, in addition to the budget per request. */
  retryExtra: z.number().nonnegative(),
  /** Maximum load of an upstream, as a multiple of the mean load. */
  boundMultiple: z.number().positive(),
  /** Maximum time for which callers may cache an address list. */
  maxLocateTtlMs: milliseconds,
});

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Returns the time within which all published changes must be in force, in milliseconds.
 * @param settings The settings. */
export function getApplyWithinMs(
  { leaveWithinMs, configurationWithinMs }: GatewaySettings,
): number {
  return Math.min(leaveWithinMs, configurationWithinMs);
}

/** Settings that a running process keeps until its next start: its id and its addresses. */
const RESTART_ONLY_FIELDS = [
  "id",
  "callerAddress",
  "readinessAddress",
  "locateAddress",
  "peerAddress",
  "gossipAddress",
  "metricsAddress",
  "platformAddress",
] as const satisfies readonly (keyof GatewaySettings)[];

/** Returns the settings that only change with the next start.
 * @param settings The settings. */
export function pickRestartOnly(
  settings: GatewaySettings,
): Partial<GatewaySettings> {
  return Object.fromEntries(
    RESTART_ONLY_FIELDS.map((field) => [field, settings[field]]),
  );
}
