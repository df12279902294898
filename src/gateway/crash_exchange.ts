import type { Timeline } from "../clock/timeline.ts";
import { CrashGossip } from "../crashes/crash_gossip.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { DatagramPort } from "../peers/datagram_socket.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { HostRing } from "../peers/host_ring.ts";
import type { Random } from "../random/random.ts";

/** Dependencies of a {@link CrashExchange}. */
export interface CrashExchangeOptions {
  socket: DatagramPort;
  guard: CrashGuard;
  /** Ring of the hosts that take requests. */
  ring: HostRing;
  /** Returns the gossip addresses of the other live hosts. */
  getHosts: () => readonly string[];
  /** Clock and timers; those of the process by default. */
  timeline?: Timeline;
  random?: Random;
}

/** Exchanges with other hosts what is known of crashed upstreams and the requests on them, by datagrams. */
export class CrashExchange {
  private readonly gossip: CrashGossip;

  private constructor(private readonly options: CrashExchangeOptions) {
    const { socket, guard, getHosts, timeline, random } = options;
    socket.handle("crash_words", ({ news }) => guard.mergeNews(news));
    this.gossip = CrashGossip.create({
      news: guard.news,
      getHosts,
      send: (host, news) => socket.send(host, { type: "crash_words", news }),
      timeline,
      random,
    });
  }

  /** Creates an exchange and starts its gossip.
   * @param options Its dependencies. */
  static create(options: CrashExchangeOptions): CrashExchange {
    return new CrashExchange(options);
  }

  /** Sends the pending news to other hosts soon. */
  announce(): void {
    this.gossip.scheduleBatch();
  }

  /** Sends the known news to a host that has just started, once per start.
   * @param entry The host's entry. */
  informStarted({ gossipAddress, incarnation }: PeerEntry): void {
    this.gossip.informStarted(gossipAddress, incarnation);
  }

  /** Whether this host is the one that tries whether a held prompt part still crashes upstreams.
   * @param part Hash of the part. */
  isTrialHost(part: number): boolean {
    return this.options.ring.isFirst(part);
  }

  /** Stops the gossip. */
  close(): void {
    this.gossip.close();
  }
}
