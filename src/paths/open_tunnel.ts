import { request } from "node:http";
import type { Socket } from "node:net";
import { splitAddress } from "../addresses/split_address.ts";
import { DialError, type DialFailure } from "../network/dial_error.ts";
import type { PathTarget } from "./path_target.ts";
import type { RelayHost } from "./relay_host.ts";
import {
  RELAY_PATH,
  RELAY_PROTOCOL,
  RELAY_STATUSES,
} from "./relay_protocol.ts";

/** Timeout for opening a tunnel, in milliseconds. */
const TUNNEL_TIMEOUT_MS = 350;
/** Idle time after which the operating system starts TCP keepalive probes, in milliseconds. */
const KEEPALIVE_PROBE_DELAY_MS = 1_000;

/** Opens a connection to an upstream through another host. Nothing is sent to the upstream before this resolves.
 * @param relay The other host.
 * @param target The upstream.
 * @param headers Headers that authenticate this host, if the other one requires them.
 * @throws DialError if the other host does not relay or does not respond in time. */
export function openTunnel(
  relay: RelayHost,
  { instanceHash }: PathTarget,
  headers: Readonly<Record<string, string>> = {},
): Promise<Socket> {
  const { host, port } = splitAddress(relay.peerAddress);
  return new Promise((resolve, reject) => {
    const opening = request({
      host,
      port,
      path: `${RELAY_PATH}?upstream=${instanceHash}`,
      headers: { ...headers, connection: "upgrade", upgrade: RELAY_PROTOCOL },
      agent: false,
    });
    const fail = (failure: DialFailure, detail: string) => {
      clearTimeout(timer);
      opening.destroy();
      reject(DialError.create(failure, `${relay.id}: ${detail}`));
    };
    const timer = setTimeout(
      () => fail("timed_out", "no tunnel in time"),
      TUNNEL_TIMEOUT_MS,
    );
    opening.once("upgrade", (_response, socket: Socket, head: Buffer) => {
      clearTimeout(timer);
      socket.setNoDelay(true);
      socket.setKeepAlive(true, KEEPALIVE_PROBE_DELAY_MS);
      if (head.length > 0) socket.unshift(head);
      resolve(socket);
    });
    opening.once("response", ({ statusCode }) => {
      const failure = Object.entries(RELAY_STATUSES).find(([, status]) =>
        status === statusCode
      )?.[0] as DialFailure | undefined;
      fail(failure ?? "failed", `status ${statusCode}`);
    });
    opening.on("error", (error) => fail("failed", error.message));
    opening.end();
  });
}
