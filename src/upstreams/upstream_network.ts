import { dialTcp } from "../network/dial_tcp.ts";
import type { PathConnection } from "../paths/path_connection.ts";
import type { PathTarget } from "../paths/path_target.ts";

/** How connections to upstreams are established. */
export interface UpstreamNetwork {
  /** Connects to an upstream.
   * @throws DialError if no connection is established in time. */
  connect(target: PathTarget): Promise<PathConnection>;
  /** Whether an idle connection to an upstream can be expected to be alive.
   * @param target The upstream.
   * @param relayId Id of the host that relays the connection; undefined if none does. */
  isTrusted(target: PathTarget, relayId: string | undefined): boolean;
}

/** Connects to upstreams without other hosts. */
export const directNetwork: UpstreamNetwork = {
  connect: async ({ address }) => ({
    socket: await dialTcp(address),
    relayId: undefined,
  }),
  isTrusted: () => true,
};
