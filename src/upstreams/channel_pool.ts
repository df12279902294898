import { Channel } from "./channel.ts";

/** Pool of the idle connections to one upstream. */
export class ConnectionPool {
  private readonly idle: Channel[] = [];
  private isClosed = false;

  private constructor(private readonly address: string) {}

  /** Creates an empty pool.
   * @param address Address of the upstream, as ip:port. */
  static create(address: string): ConnectionPool {
    return new ConnectionPool(address);
  }

  /** Returns the most recently used idle connection, or a new one. */
  take(): Channel {
    while (this.idle.length > 0) {
      const connection = this.idle.pop()!;
      if (connection.isUsable) return connection;
    }
    return Channel.create(this.address, (closed) => this.remove(closed));
  }

  /** Returns a connection to the pool after a complete response.
   * @param connection The connection. */
  giveBack(connection: Channel): void {
    if (this.isClosed) return connection.close();
    if (connection.isUsable) this.idle.push(connection);
  }

  /** Closes the idle connections, and those that are returned later. */
  close(): void {
    this.isClosed = true;
    for (const connection of this.idle.splice(0)) connection.close();
  }

  private remove(connection: Channel): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
