import type { Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { Failure } from "../errors/failure.ts";
import type { CallerConnections } from "./caller_connections.ts";
import { pollSockets } from "./poll_sockets.ts";
import { stopListening } from "./stop_listening.ts";

/** Maximum time for which an idle connection is kept for a request that is on its way, in milliseconds. */
const MAX_SETTLE_MS = 100;
/** Maximum time for which a connection without unsent bytes is kept until its caller closes it, in milliseconds. */
const MAX_LINGER_MS = 500;
/** Fraction of the time limit that idle connections are kept for requests. */
const SETTLE_FRACTION = 0.25;

/** Time limit and refusals of an orderly end. */
export interface ClosingOptions {
  /** Time after which connections are cut, in milliseconds. */
  limitMs: number;
  /** Time after which refused callers may retry, in milliseconds; by default that of the error kind. */
  retryAfterMs?: number;
}

/** Ends all callers' connections of an HTTP server in order: each is closed for responses once those under way have been
 * sent, and read until its caller closes it, because a close with unread bytes resets it. */
export class ConnectionCloser {
  private constructor(
    private readonly server: Server,
    private readonly connections: CallerConnections,
  ) {}

  /** Creates a closer.
   * @param server The server.
   * @param connections Its connections. */
  static create(
    server: Server,
    connections: CallerConnections,
  ): ConnectionCloser {
    return new ConnectionCloser(server, connections);
  }

  /** Stops listening, refuses the requests that still arrive, and resolves when all connections are closed. Those that are
   * open at the time limit are cut.
   * @param options Time limit and refusals. */
  async close({ limitMs, retryAfterMs }: ClosingOptions): Promise<void> {
    const boundMs = Math.max(0, limitMs);
    const timer = new AbortController();
    const isOver = delay(boundMs, undefined, timer);
    this.connections.leave({
      refusal: Failure.create("draining", "the stop has ended", retryAfterMs),
      settleMs: Math.min(MAX_SETTLE_MS, boundMs * SETTLE_FRACTION),
      lingerMs: MAX_LINGER_MS,
    });
    // Connections that the kernel has accepted are reset if the socket is closed before they are taken over.
    await pollSockets();
    stopListening(this.server);
    await Promise.race([
      this.connections.waitUntilClosed(),
      isOver.catch(() => undefined),
    ]);
    timer.abort();
    await pollSockets();
    this.connections.cut();
  }
}
