import { request } from "node:http";
import { splitAddress } from "../addresses/split_address.ts";
import { DialError, type DialFailure } from "../network/dial_error.ts";
import { KEEPALIVE_PROBE_DELAY_MS } from "../network/dial_tcp.ts";
import type { PathTarget } from "./path_target.ts";
import type { RelayHost } from "./relay_host.ts";
import { RELAY_FAILURES, RELAY_PATH } from "./relay_protocol.ts";
import { TunnelSocket } from "./tunnel_socket.ts";

/** Timeout for opening a tunnel, in milliseconds. */
const TUNNEL_TIMEOUT_MS = 350;

/** Opens a connection to an upstream through another host. Nothing is sent to the upstream before this resolves.
 * @param relay The other host.
 * @param target The upstream.
 * @throws DialError if the other host does not relay or does not respond in time. */
export function openTunnel(
  relay: RelayHost,
  { instanceHash }: PathTarget,
): Promise<TunnelSocket> {
  const address = relay.peerAddress;
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const opening = request({
      method: "POST",
      host,
      port,
      path: `${RELAY_PATH}?upstream=${instanceHash}`,
      agent: false,
    });
    opening.setNoDelay(true);
    opening.setSocketKeepAlive(true, KEEPALIVE_PROBE_DELAY_MS);
    const fail = (failure: DialFailure, detail: string) => {
      clearTimeout(timer);
      opening.destroy();
      reject(DialError.create(failure, `${relay.id}: ${detail}`));
    };
    const timer = setTimeout(
      () => fail("timed_out", "no tunnel in time"),
      TUNNEL_TIMEOUT_MS,
    );
    const handleError = (error: Error) => fail("failed", error.message);
    opening.on("error", handleError);
    opening.once("response", (response) => {
      const { statusCode } = response;
      if (statusCode !== 200) {
        const failure = RELAY_FAILURES.get(statusCode ?? 0) ?? "failed";
        return fail(failure, `status ${statusCode}`);
      }
      clearTimeout(timer);
      opening.off("error", handleError);
      resolve(TunnelSocket.create({ request: opening, response, address }));
    });
    opening.flushHeaders();
  });
}
