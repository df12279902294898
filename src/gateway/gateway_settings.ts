import { z } from "zod";

const address = z.string().regex(/^[\d.]+:\d+$/, "must be ip:port");
const milliseconds = z.number().nonnegative();

/** The schema of a gateway's settings. */
export const gatewaySettingsSchema = z.object({
  /** Name of the host, the same after a restart. */
  id: z.string().min(1),
  hall: z.string(),
  /** Where callers send requests. */
  callerAddress: address,
  /** Where it is asked whether the host is ready. */
  readinessAddress: address,
  /** Where callers ask which addresses to use. */
  locateAddress: address,
  /** Where other hosts ask for what is published. */
  peerAddress: address,
  /** Where other hosts tell of themselves. */
  gossipAddress: address,
  /** Where counters and histograms are served. */
  metricsAddress: address,
  /** Gossip addresses of hosts to begin with. */
  seedAddresses: z.array(address),
  platformAddress: address,
  /** Whether the whole fleet starts for the first time, so that no engine keeps anything yet. */
  isFirstStart: z.boolean(),
  /** Time after which a leaving upstream may get no new work. */
  leaveWithinMs: milliseconds,
  /** Time that a planned stop may take. */
  stopWithinMs: milliseconds,
  /** Time after which a key that was taken away is no longer honoured; undefined where there is no bound. */
  keyBeliefMs: milliseconds.optional(),
  /** Retries allowed for each request, for the whole fleet. */
  retryRatio: z.number().nonnegative(),
  retryWindowMs: z.number().positive(),
  /** Retries allowed beyond that in a window, for the whole fleet. */
  retryExtra: z.number().nonnegative(),
  /** No upstream is to carry more than this multiple of the mean load. */
  boundMultiple: z.number().positive(),
  /** Longest time for which callers may keep an answer with addresses. */
  locateLifetimeLimitMs: milliseconds,
});

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** What a process keeps until its next start: its name, and where it listens. */
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

/** What of the settings holds until the next start.
 * @param settings The settings. */
export function pickRestartOnly(
  settings: GatewaySettings,
): Partial<GatewaySettings> {
  return Object.fromEntries(
    RESTART_ONLY_FIELDS.map((field) => [field, settings[field]]),
  );
}
