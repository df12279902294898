import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import { Prober } from "../membership/prober.ts";
import type { Random } from "../random/random.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";
import type { RumourReceiver } from "./rumour_receiver.ts";
import type { RumourDisseminator } from "./rumour_disseminator.ts";

/** Timeout of a direct probe, in milliseconds; the timeout of indirect probes is twice as long. */
const PROBE_TIMEOUT_MS = 180;
/** Number of hosts that are asked to probe a host that did not acknowledge a direct probe. */
const INDIRECT_PROBES = 3;
/** Maximum number of hosts that are probed when a host of their hall does not acknowledge a probe, since many may have
 * failed at once; only hosts without recent contact are. */
const NEIGHBOUR_PROBES = 2;
/** Time after a contact with a host during which it is not probed as a neighbour, in milliseconds. */
const RECENT_CONTACT_MS = 600;

/** Dependencies of a failure detector. */
export interface FailureDetectorOptions {
  logger: Logger;
  socket: DatagramPort;
  hosts: HostTable;
  timeline: Timeline;
  random: Random;
  /** Sends a host a probe, which it acknowledges with the nonce. */
  sendProbe: (address: string, nonce: number) => void;
  disseminator: RumourDisseminator;
  receiver: RumourReceiver;
}

/** Detects failed hosts of a large fleet with the SWIM protocol: a host that acknowledges neither a direct probe nor
 * the indirect probes of other hosts is suspected, and is declared failed unless it refutes the suspicion in time. */
export class FailureDetector {
  private readonly probes: Prober;

  private constructor(private readonly options: FailureDetectorOptions) {
    const { socket, timeline, sendProbe } = options;
    this.probes = Prober.create(PROBE_TIMEOUT_MS, {
      sendPing: sendProbe,
      requestIndirectProbes: (target, nonce) =>
        this.handleTimeout(target, nonce),
      onProbeFailed: (target) => this.suspect(target),
    }, timeline);
    socket.handle("probe_ack", ({ nonce, target, rumours }, sender) => {
      options.hosts.recordContact(sender, timeline.read());
      options.receiver.apply(rumours, sender);
      this.handleAcknowledgement(target, nonce);
    });
    socket.handle("indirect_probe_request", ({ nonce, target }, sender) => {
      if (!options.hosts.getHost(target)) return;
      this.probes.probe(target, () => this.acknowledge(sender, nonce, target));
    });
  }

  /** Creates a detector.
   * @param options Its dependencies. */
  static create(options: FailureDetectorOptions): FailureDetector {
    return new FailureDetector(options);
  }

  /** Probes a host.
   * @param address Its gossip address. */
  probe(address: string): void {
    this.probes.probe(address);
  }

  /** Acknowledges a probe of this host, or of a host that was probed on behalf of the sender.
   * @param sender Gossip address of the probing host.
   * @param nonce Nonce of its probe.
   * @param target Gossip address of the probed host. */
  acknowledge(sender: string, nonce: number, target: string): void {
    this.options.socket.send(sender, {
      type: "probe_ack",
      nonce,
      target,
      rumours: this.options.disseminator.takeBatch(),
    });
  }

  /** Cancels all pending probes; used after a pause of this process, during which their acknowledgements may have been
   * queued. */
  cancelProbes(): void {
    this.probes.close();
  }

  /** Cancels all pending probes. */
  close(): void {
    this.probes.close();
  }

  private handleAcknowledgement(target: string, nonce: number): void {
    this.probes.complete(target, nonce);
    this.options.hosts.recordContact(target, this.options.timeline.read());
  }

  /** Requests indirect probes of a host whose direct probe timed out, and probes its neighbours. */
  private handleTimeout(target: string, nonce: number): void {
    this.requestIndirectProbes(target, nonce);
    const host = this.options.hosts.getHost(target);
    const neighbours = host ? this.findNeighbours(host) : [];
    for (const { entry } of neighbours) this.probe(entry.gossipAddress);
  }

  private requestIndirectProbes(target: string, nonce: number): void {
    const { hosts, random, socket, timeline } = this.options;
    const helpers = hosts.getLive(timeline.read()).filter((host) =>
      host.status === "alive" && host.entry.gossipAddress !== target
    );
    const count = Math.min(INDIRECT_PROBES, helpers.length);
    for (let index = 0; index < count; index++) {
      const { gossipAddress } = random.pick(helpers).entry;
      socket.send(gossipAddress, {
        type: "indirect_probe_request",
        nonce,
        target,
      });
    }
  }

  private suspect(target: string): void {
    const { hosts, logger, disseminator, timeline } = this.options;
    const now = timeline.read();
    const host = hosts.getHost(target);
    if (host?.status !== "alive") return;
    hosts.suspect(host, now);
    const { id, incarnation, hall } = host.entry;
    const silentMs = Math.round(now - host.lastSeenAt);
    logger.info({ peer: id, incarnation, hall, silentMs }, "host_suspected");
    disseminator.send(target, [hosts.buildRumour(host, now)]);
  }

  private findNeighbours(host: KnownHost): KnownHost[] {
    const { hosts, random, timeline } = this.options;
    const now = timeline.read();
    const silent = hosts.getLive(now).filter(({ entry, status, lastSeenAt }) =>
      entry.hall === host.entry.hall && status === "alive" &&
      now - lastSeenAt > RECENT_CONTACT_MS &&
      !this.probes.isProbing(entry.gossipAddress)
    );
    return random.shuffle(silent).slice(0, NEIGHBOUR_PROBES);
  }
}
