import type { PathConnection } from "../paths/path_connection.ts";
import { UpstreamConnection } from "./upstream_connection.ts";

/** Options of a {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  /** Address of the upstream, as ip:port. */
  address: string;
  /** Establishes a connection. */
  connect: () => Promise<PathConnection>;
  /** Whether an idle connection can be expected to be alive, by the id of the host that relays it. */
  isTrusted: (relayId: string | undefined) => boolean;
}

/** Pool of the idle connections to one upstream. */
export class ConnectionPool {
  private idle: UpstreamConnection[] = [];
  private isClosed = false;

  private constructor(private readonly options: ConnectionPoolOptions) {}

  /** Creates an empty pool.
   * @param options The upstream and how to connect to it. */
  static create(options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options);
  }

  /** Whether there is an idle connection that can be used. */
  get hasIdle(): boolean {
    return this.idle.some((connection) =>
      connection.isUsable && this.options.isTrusted(connection.relayId)
    );
  }

  /** Returns the most recently used idle connection, or a new one. */
  acquire(): UpstreamConnection {
    this.closeUntrusted();
    while (this.idle.length > 0) {
      const connection = this.idle.pop()!;
      if (connection.isUsable) return connection;
    }
    return this.connect();
  }

  /** Returns a new connection. */
  connect(): UpstreamConnection {
    const { address, connect } = this.options;
    return UpstreamConnection.create(
      address,
      connect,
      (closed) => this.remove(closed),
    );
  }

  /** Returns a connection to the pool after a complete response.
   * @param connection The connection. */
  release(connection: UpstreamConnection): void {
    const isTrusted = this.options.isTrusted(connection.relayId);
    if (this.isClosed || !isTrusted) return connection.close();
    if (connection.isUsable) this.idle.push(connection);
  }

  /** Closes the idle connections that can no longer be expected to be alive. */
  closeUntrusted(): void {
    const { isTrusted } = this.options;
    const untrusted = this.idle.filter(({ relayId }) => !isTrusted(relayId));
    if (untrusted.length === 0) return;
    this.idle = this.idle.filter((each) => !untrusted.includes(each));
    for (const connection of untrusted) connection.close();
  }

  /** Closes the idle connections, and those that are returned later. */
  close(): void {
    this.isClosed = true;
    for (const connection of this.idle.splice(0)) connection.close();
  }

  private remove(connection: UpstreamConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
