import { Channel } from "./channel.ts";

/** The connections to one upstream that carry no request at the moment. */
export class ConnectionPool {
  private readonly idle: Channel[] = [];
  private isClosed = false;

  private constructor(private readonly address: string) {}

  /** Creates an empty pool.
   * @param address Address of the upstream, as ip:port. */
  static create(address: string): ConnectionPool {
    return new ConnectionPool(address);
  }

  /** Takes the channel that was used last, or a new one. */
  take(): Channel {
    while (this.idle.length > 0) {
      const channel = this.idle.pop()!;
      if (channel.isUsable) return channel;
    }
    return Channel.create(this.address, (closed) => this.remove(closed));
  }

  /** Gives a channel back after a whole answer.
   * @param channel The channel. */
  giveBack(channel: Channel): void {
    if (this.isClosed) return channel.close();
    if (channel.isUsable) this.idle.push(channel);
  }

  /** Closes the idle channels, and those given back later. */
  close(): void {
    this.isClosed = true;
    for (const channel of this.idle.splice(0)) channel.close();
  }

  private remove(channel: Channel): void {
    const index = this.idle.indexOf(channel);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
