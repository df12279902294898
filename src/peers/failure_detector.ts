import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import { ProbeRound } from "../membership/probe_round.ts";
import type { Random } from "../random/random.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";
import type { RumourReceiver } from "./rumour_receiver.ts";
import type { RumourSpread } from "./rumour_disseminator.ts";

/** Time for the answer to a probe, in milliseconds; through other hosts it is twice as long. */
const PROBE_TIMEOUT_MS = 180;
/** Hosts that are asked to probe one that did not answer. */
const RELAYS = 3;
/** Silent hosts of the same hall that are probed with one that did not answer, for many may have failed at once. */
const NEIGHBOURS_PROBED = 2;
/** Time for which a sign of life makes such a probe unnecessary, in milliseconds. */
const HEARD_LATELY_MS = 600;

/** What a failure detector needs. */
export interface FailureDetectorOptions {
  logger: Logger;
  socket: DatagramPort;
  hosts: HostTable;
  timeline: Timeline;
  random: Random;
  /** Writes to a host, which answers with the number of the probe. */
  sendProbe: (address: string, number: number) => void;
  spread: RumourSpread;
  receiver: RumourReceiver;
}

/** Finds hosts of a large fleet that have failed, as SWIM does: a host that answers neither a probe nor those of others is
 * suspected, and has failed unless it refutes that in time. */
export class FailureDetector {
  private readonly rounds: ProbeRound;

  private constructor(private readonly options: FailureDetectorOptions) {
    const { socket, timeline, sendProbe } = options;
    this.rounds = ProbeRound.create(PROBE_TIMEOUT_MS, {
      sendPing: sendProbe,
      sendRelays: (target, number) => this.takeSilence(target, number),
      onSilent: (target) => this.suspect(target),
    }, timeline);
    socket.handle("probe_answer", ({ number, target, rumours }, sender) => {
      options.hosts.noteHeard(sender, timeline.read());
      options.receiver.take(rumours, sender);
      this.takeAnswer(target, number);
    });
    socket.handle("probe_request", ({ number, target }, sender) => {
      if (!options.hosts.getHost(target)) return;
      this.rounds.probe(target, () => this.answer(sender, number, target));
    });
  }

  /** Creates a detector.
   * @param options What it needs. */
  static create(options: FailureDetectorOptions): FailureDetector {
    return new FailureDetector(options);
  }

  /** Probes a host.
   * @param address Its gossip address. */
  probe(address: string): void {
    this.rounds.probe(address);
  }

  /** Answers a probe of this host, or of one that was probed for the sender.
   * @param sender Gossip address of the host that probes.
   * @param number Number of its probe.
   * @param target Gossip address of the host that it probes. */
  answer(sender: string, number: number, target: string): void {
    this.options.socket.send(sender, {
      type: "probe_answer",
      number,
      target,
      rumours: this.options.spread.take(),
    });
  }

  /** Forgets the probes under way, whose answers may have waited while this process did not run. */
  forgetProbes(): void {
    this.rounds.close();
  }

  /** Ends all probes. */
  close(): void {
    this.rounds.close();
  }

  private takeAnswer(target: string, number: number): void {
    this.rounds.acknowledge(target, number);
    this.options.hosts.noteHeard(target, this.options.timeline.read());
  }

  /** Has others probe a host that did not answer, and probes its neighbours. */
  private takeSilence(target: string, number: number): void {
    this.sendRelays(target, number);
    const host = this.options.hosts.getHost(target);
    const neighbours = host ? this.findNeighbours(host) : [];
    for (const { entry } of neighbours) this.probe(entry.gossipAddress);
  }

  private sendRelays(target: string, number: number): void {
    const { hosts, random, socket, timeline } = this.options;
    const helpers = hosts.getLive(timeline.read()).filter((host) =>
      host.status === "alive" && host.entry.gossipAddress !== target
    );
    const count = Math.min(RELAYS, helpers.length);
    for (let index = 0; index < count; index++) {
      const { gossipAddress } = random.pick(helpers).entry;
      socket.send(gossipAddress, { type: "probe_request", number, target });
    }
  }

  private suspect(target: string): void {
    const { hosts, logger, spread, timeline } = this.options;
    const now = timeline.read();
    const host = hosts.getHost(target);
    if (host?.status !== "alive") return;
    hosts.suspect(host, now);
    const { id, incarnation, hall } = host.entry;
    const silentMs = Math.round(now - host.heardAt);
    logger.info({ peer: id, incarnation, hall, silentMs }, "host_suspected");
    spread.send(target, [hosts.describe(host, now)]);
  }

  private findNeighbours(host: KnownHost): KnownHost[] {
    const { hosts, random, timeline } = this.options;
    const now = timeline.read();
    const silent = hosts.getLive(now).filter(({ entry, status, heardAt }) =>
      entry.hall === host.entry.hall && status === "alive" &&
      now - heardAt > HEARD_LATELY_MS &&
      !this.rounds.isProbing(entry.gossipAddress)
    );
    return random.shuffle(silent).slice(0, NEIGHBOURS_PROBED);
  }
}
