import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { parseRequestTarget } from "../http/parse_request_target.ts";
import type { Logger } from "../logging/logger.ts";
import { DialError } from "../network/dial_error.ts";
import type { Dial } from "../network/dial_tcp.ts";
import type { PathTarget } from "./path_target.ts";
import { RELAY_PROTOCOL, RELAY_STATUSES } from "./relay_protocol.ts";

/** Maximum number of tunnels at a time; each takes two file descriptors. */
const MAX_TUNNELS = 1_000;
/** Status of the response to a request that is not authorized, or names no listed upstream. */
const FORBIDDEN_STATUS = 403;

/** Dependencies of a {@link RelayServer}. */
export interface RelayServerOptions {
  logger: Logger;
  /** Establishes connections of this host. */
  dial: Dial;
  /** Returns the listed upstream with an instance hash; undefined if there is none. */
  findTarget: (instanceHash: number) => PathTarget | undefined;
  /** Whether a request comes from another host of the fleet. */
  isAuthorized: (request: IncomingMessage) => boolean;
  /** Whether this host takes new work. */
  isAccepting: () => boolean;
  /** Called with an upstream to which no connection was established. */
  onDialFailure: (target: PathTarget) => void;
}

/** Opens connections to listed upstreams on behalf of other hosts and forwards the bytes in both directions. It never
 * asks a further host. */
export class RelayServer {
  private readonly tunnels = new Set<Duplex>();

  private constructor(private readonly options: RelayServerOptions) {}

  /** Creates a server without tunnels.
   * @param options Its dependencies. */
  static create(options: RelayServerOptions): RelayServer {
    return new RelayServer(options);
  }

  /** Number of open tunnels. */
  get openTunnels(): number {
    return this.tunnels.size;
  }

  /** Handles a request to open a tunnel.
   * @param request The request.
   * @param peer The connection to the other host.
   * @param head Bytes that were received after the request. */
  handleUpgrade(request: IncomingMessage, peer: Duplex, head: Buffer): void {
    peer.on("error", () => peer.destroy());
    const query = parseRequestTarget(request.url).searchParams;
    const target = this.options.findTarget(Number(query.get("upstream")));
    const isRelayRequest = request.headers.upgrade === RELAY_PROTOCOL;
    if (!target || !isRelayRequest || !this.options.isAuthorized(request)) {
      return this.refuse(peer, FORBIDDEN_STATUS, target, "not authorized");
    }
    const hasCapacity = this.tunnels.size < MAX_TUNNELS;
    if (!hasCapacity || !this.options.isAccepting() || !target.path.isDirect) {
      const { state } = target.path;
      return this.refuse(peer, RELAY_STATUSES.failed, target, `path ${state}`);
    }
    void this.open(target, peer, head);
  }

  /** Closes all tunnels. */
  close(): void {
    for (const peer of this.tunnels) peer.destroy();
  }

  private async open(
    target: PathTarget,
    peer: Duplex,
    head: Buffer,
  ): Promise<void> {
    try {
      const upstream = await this.options.dial(target.address);
      if (peer.destroyed) upstream.destroy();
      else this.connect(target, peer, upstream, head);
    } catch (thrown) {
      const { failure, message } = DialError.from(thrown);
      this.options.onDialFailure(target);
      this.refuse(peer, RELAY_STATUSES[failure], target, message);
    }
  }

  private connect(
    { id }: PathTarget,
    peer: Duplex,
    upstream: Socket,
    head: Buffer,
  ): void {
    this.tunnels.add(peer);
    this.options.logger.info({ upstream: id }, "tunnel_opened");
    peer.write(
      `HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${RELAY_PROTOCOL}\r\n\r\n`,
    );
    if (head.length > 0) upstream.write(head);
    peer.pipe(upstream);
    upstream.pipe(peer);
    // A reset is forwarded as one: otherwise a response without a length would look complete to the other host.
    upstream.on("error", () => resetPeer(peer));
    upstream.prependOnceListener("end", () => {
      if (upstream.remoteAddress === undefined) resetPeer(peer);
    });
    // The other host closes the connection once it needs no response any more; the upstream is to learn of it at once.
    peer.once("end", () => upstream.destroy());
    peer.once("close", () => {
      this.tunnels.delete(peer);
      upstream.destroy();
    });
    upstream.once("close", () => {
      if (!peer.writableFinished) peer.end();
    });
  }

  private refuse(
    peer: Duplex,
    status: number,
    target: PathTarget | undefined,
    reason: string,
  ): void {
    const upstream = target?.id;
    this.options.logger.info({ upstream, status, reason }, "tunnel_refused");
    peer.end(
      `HTTP/1.1 ${status} Not Relayed\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
  }
}

function resetPeer(peer: Duplex): void {
  (peer as Socket).resetAndDestroy();
}
