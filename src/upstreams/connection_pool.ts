import type { Dial } from "../network/dial_tcp.ts";
import { UpstreamConnection } from "./upstream_connection.ts";

/** Pool of the idle connections to one upstream. */
export class ConnectionPool {
  private readonly idle: UpstreamConnection[] = [];
  private isClosed = false;

  private constructor(
    private readonly address: string,
    private readonly dial: Dial,
  ) {}

  /** Creates an empty pool.
   * @param address Address of the upstream, as ip:port.
   * @param dial Establishes connections. */
  static create(address: string, dial: Dial): ConnectionPool {
    return new ConnectionPool(address, dial);
  }

  /** Returns the most recently used idle connection, or a new one. */
  acquire(): UpstreamConnection {
    while (this.idle.length > 0) {
      const connection = this.idle.pop()!;
      if (connection.isUsable) return connection;
    }
    return this.connect();
  }

  /** Returns a new connection. */
  connect(): UpstreamConnection {
    return UpstreamConnection.create(
      this.address,
      () => this.dial(this.address),
      (closed) => this.remove(closed),
    );
  }

  /** Returns a connection to the pool after a complete response.
   * @param connection The connection. */
  release(connection: UpstreamConnection): void {
    if (this.isClosed) return connection.close();
    if (connection.isUsable) this.idle.push(connection);
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
