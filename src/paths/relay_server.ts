import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../logging/logger.ts";
import { DialError } from "../network/dial_error.ts";
import type { Dial } from "../network/dial_tcp.ts";
import type { PathTarget } from "./path_target.ts";
import { RELAY_STATUSES } from "./relay_protocol.ts";

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
  private readonly tunnels = new Set<ServerResponse>();

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
   * @param request The request; its body carries the bytes to the upstream.
   * @param response The response to it; its body carries the bytes of the upstream.
   * @param instanceHash Hash of the upstream instance. */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
    instanceHash: number,
  ): void {
    const target = this.options.findTarget(instanceHash);
    if (!target || !this.options.isAuthorized(request)) {
      return this.refuse(response, FORBIDDEN_STATUS, target, "not authorized");
    }
    const hasCapacity = this.tunnels.size < MAX_TUNNELS;
    if (hasCapacity && this.options.isAccepting() && target.path.isDirect) {
      void this.open(target, request, response);
      return;
    }
    const { state } = target.path;
    this.refuse(response, RELAY_STATUSES.failed, target, `path ${state}`);
  }

  /** Closes all tunnels. */
  close(): void {
    for (const response of this.tunnels) response.destroy();
  }

  private async open(
    target: PathTarget,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const upstream = await this.options.dial(target.address);
      if (response.destroyed) upstream.destroy();
      else this.connect(target, request, response, upstream);
    } catch (thrown) {
      const { failure, message } = DialError.from(thrown);
      this.options.onDialFailure(target);
      this.refuse(response, RELAY_STATUSES[failure], target, message);
    }
  }

  private connect(
    { id }: PathTarget,
    request: IncomingMessage,
    response: ServerResponse,
    upstream: Socket,
  ): void {
    this.tunnels.add(response);
    const peer = request.socket.remoteAddress;
    this.options.logger.info({ upstream: id, peer }, "tunnel_opened");
    response.writeHead(200);
    response.flushHeaders();
    request.pipe(upstream);
    upstream.pipe(response);
    request.on("error", () => upstream.destroy());
    // A connection that was reset must not look like one that ended. If the reset arrives together with the last bytes,
    // the event loop reports an end, but the socket has no remote address any more.
    upstream.on("error", () => response.destroy());
    upstream.prependOnceListener("end", () => {
      if (upstream.remoteAddress === undefined) response.destroy();
    });
    response.once("close", () => {
      this.tunnels.delete(response);
      upstream.destroy();
    });
  }

  private refuse(
    response: ServerResponse,
    status: number,
    target: PathTarget | undefined,
    reason: string,
  ): void {
    const upstream = target?.id;
    this.options.logger.info({ upstream, status, reason }, "tunnel_refused");
    response.writeHead(status, { connection: "close" }).end();
  }
}
