import { readClock } from "../clock/clock.ts";
import { CrashGossip } from "../crashes/crash_gossip.ts";
import type { CrashStore } from "../crashes/crash_store.ts";
import type { DatagramPort } from "../peers/datagram_socket.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";

/** Dependencies of a {@link CrashExchange}. */
export interface CrashExchangeOptions {
  socket: DatagramPort;
  store: CrashStore;
  /** Returns the gossip addresses of the other live hosts. */
  getHosts: () => readonly string[];
}

/** Exchanges reports of the requests that were in flight on crashed upstreams with other hosts, by datagrams. */
export class CrashExchange {
  private readonly gossip: CrashGossip;

  private constructor({ socket, store, getHosts }: CrashExchangeOptions) {
    socket.handle(
      "crash_words",
      ({ words }) => store.mergeReports(words, readClock()),
    );
    this.gossip = CrashGossip.create({
      store,
      getHosts,
      send: (host, words) => socket.send(host, { type: "crash_words", words }),
    });
  }

  /** Creates an exchange and starts its gossip.
   * @param options Its dependencies. */
  static create(options: CrashExchangeOptions): CrashExchange {
    return new CrashExchange(options);
  }

  /** Sends the pending reports to other hosts soon. */
  announce(): void {
    this.gossip.scheduleBatch();
  }

  /** Sends the known reports to a host that has just started, once per start.
   * @param entry The host's entry. */
  informStarted({ gossipAddress, incarnation }: PeerEntry): void {
    this.gossip.informStarted(gossipAddress, incarnation);
  }

  /** Stops the gossip. */
  close(): void {
    this.gossip.close();
  }
}
