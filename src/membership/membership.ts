import { readClock } from "../clock/clock.ts";
import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { PauseGuard } from "../clock/pause_guard.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetSecret } from "../peer/fleet_secret.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import { Random } from "../random/random.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { FleetView } from "./fleet_view.ts";
import { logChanges, viewRouters } from "./view_routers.ts";
import { MemberTable } from "./member_table.ts";
import type { ProbeMessage } from "./probe_message.ts";
import { type DatagramAddress, ProbeSocket } from "./probe_socket.ts";
import { ProbeRound } from "./probe_round.ts";

/** Rumours on one datagram. */
const RUMOURS_PER_MESSAGE = 6;

/** What membership needs of the rest of the router. */
export interface MembershipOptions {
  settings: Settings;
  system: ActorSystem;
  secret: FleetSecret;
  guard: PauseGuard;
  logger: Logger;
  /** The configuration this router holds. */
  getConfiguration: () => { digest: number; revision: number };
  /** The loads of the upstreams this router owns. */
  getLoads: () => [number, number][];
  /** Told of each peer's configuration. */
  onPeerConfiguration: (
    peerId: string,
    digest: number,
    revision: number,
  ) => void;
  /** Told of each peer's loads. */
  onPeerLoads: (id: string, loads: readonly [number, number][]) => void;
  /** Told of each peer that has a newer list of hosts. */
  onNewerHosts: (peerId: string, version: number) => void;
  /** Told of each new view. */
  onView: (view: FleetView) => void;
}

type MembershipMessages = {
  datagram: { message: ProbeMessage; from: DatagramAddress };
  hostList: HostList;
  tick: null;
  unreachable: string;
  unavailable: boolean;
  push: null;
};

/** The task that owns the probe socket and the member table, and publishes a view of the fleet. */
export class Membership {
  private readonly table: MemberTable;
  private readonly random = Random.create();
  private readonly actor: Actor<MembershipMessages>;
  private readonly rounds: ProbeRound;
  private readonly timer: NodeJS.Timeout;
  private hostList: HostList = { version: 0, hosts: [] };
  private currentView: FleetView;
  private probeOrder: string[] = [];
  private peerAddresses = new Map<string, DatagramAddress>();
  private publishedChanges = -1;

  private constructor(
    private readonly options: MembershipOptions,
    private socket: ProbeSocket | undefined,
  ) {
    const { settings } = options;
    this.table = MemberTable.create(
      settings.id,
      Date.now(),
      settings.membership.suspicionMs,
    );
    this.currentView = FleetView.create(settings.id, 0, [], []);
    this.rounds = ProbeRound.create(settings.membership.probeTimeoutMs, {
      sendPing: (target, nonce) =>
        this.send(target, { type: "ping", ...this.header(nonce) }),
      sendRelays: (target, nonce) => this.sendRelays(target, nonce),
      onSilent: (target) => this.actor.tell("unreachable", target),
    });
    this.actor = Actor.create<MembershipMessages>(
      options.system,
      "membership",
      {
        datagram: ({ message, from }) => this.receive(message, from),
        hostList: (list) => this.takeHostList(list),
        tick: () => this.probe(),
        unreachable: (id) => this.suspect(id),
        unavailable: (isUnavailable) => this.announce(isUnavailable),
        push: () => this.push(),
      },
      options.logger,
    );
    this.timer = setInterval(
      () => this.actor.tell("tick", null),
      settings.membership.probeIntervalMs,
    );
  }

  /** Binds the probe socket and starts probing.
   * @param options What membership needs. */
  static async create(options: MembershipOptions): Promise<Membership> {
    const membership = new Membership(options, undefined);
    const { host, port } = options.settings.peer;
    membership.socket = await ProbeSocket.create(
      { address: host, port },
      options.secret,
      (message, from) => membership.actor.tell("datagram", { message, from }),
    );
    return membership;
  }

  /** The list of hosts in use. */
  get hosts(): HostList {
    return this.hostList;
  }

  /** The present view of the fleet. */
  get view(): FleetView {
    return this.currentView;
  }

  /** Bytes and datagrams sent since the start. */
  get traffic(): { bytes: number; messages: number } {
    return {
      bytes: this.socket?.bytesSent ?? 0,
      messages: this.socket?.messagesSent ?? 0,
    };
  }

  /** Takes over a published host list.
   * @param list The list. */
  offerHostList(list: HostList): void {
    this.actor.tell("hostList", list);
  }

  /** Records that a connection to a router failed.
   * @param id The router. */
  reportUnreachable(id: string): void {
    this.actor.tell("unreachable", id);
  }

  /** Tells peers the own loads now instead of with the next probe. */
  pushLoads(): void {
    this.actor.tell("push", null);
  }

  /** Drops the probes under way, whose answers may have waited while this process did not run. */
  forgetProbes(): void {
    this.rounds.close();
  }

  /** Tells the fleet whether callers and work should go elsewhere; at first they should.
   * @param isUnavailable Whether they should. */
  setUnavailable(isUnavailable: boolean): void {
    this.actor.tell("unavailable", isUnavailable);
  }

  /** Stops probing and closes the socket. */
  close(): void {
    clearInterval(this.timer);
    this.rounds.close();
    this.actor.close();
    this.socket?.close();
  }

  private receive(message: ProbeMessage, from: DatagramAddress): void {
    const now = readClock();
    this.table.markHeard({
      id: message.from,
      incarnation: message.incarnation,
      unavailable: message.unavailable,
    }, now);
    for (const rumour of message.rumours) this.table.applyRumour(rumour, now);
    this.options.onPeerConfiguration(
      message.from,
      message.digest,
      message.revision,
    );
    this.options.onPeerLoads(message.from, message.loads);
    if (message.hosts > this.hostList.version) {
      this.options.onNewerHosts(message.from, message.hosts);
    }
    if (message.type === "ping") {
      this.socket?.send({ type: "ack", ...this.header(message.nonce) }, from);
    }
    if (message.type === "relay") {
      this.relay(message.target, message.nonce, from);
    }
    if (message.type === "ack") this.acknowledge(message.from, message.nonce);
    if (message.type === "relayed") {
      this.table.markHeard(message.target, now);
      this.acknowledge(message.target.id, message.nonce);
    }
    this.publish();
  }

  private acknowledge(id: string, nonce: number): void {
    this.options.guard.isFresh();
    if (this.rounds.acknowledge(id, nonce)) this.options.guard.markHeard();
  }

  private relay(target: string, nonce: number, from: DatagramAddress): void {
    this.rounds.probe(target, () => {
      const member = this.table.getMember(target);
      if (!member) return;
      const { id, incarnation, status, unavailable } = member;
      const rumour = { id, incarnation, status, unavailable };
      this.socket?.send({
        type: "relayed",
        ...this.header(nonce),
        target: rumour,
      }, from);
    });
  }

  private takeHostList(list: HostList): void {
    if (list.version <= this.hostList.version) return;
    this.hostList = list;
    const routers = list.hosts.filter((host) => host.role === "router");
    this.table.applyList(routers.map((host) => host.id), readClock());
    this.peerAddresses = new Map(
      routers.map((
        host,
      ) => [host.id, { address: host.address, port: host.peerPort ?? 0 }]),
    );
    this.probeOrder = [];
    this.publish();
  }

  private probe(): void {
    this.options.guard.isFresh();
    this.table.expireSuspicions(readClock());
    if (this.table.getMembers().every((member) => member.status !== "alive")) {
      this.options.guard.markHeard();
    }
    for (
      let count = 0;
      count < this.options.settings.membership.probeFanout;
      count++
    ) {
      const target = this.nextTarget();
      if (target) this.rounds.probe(target);
    }
    this.publish();
  }

  private push(): void {
    for (
      const member of this.table.getMembers().slice(
        0,
        this.options.settings.membership.probeFanout * 2,
      )
    ) {
      this.rounds.probe(member.id);
    }
  }

  private nextTarget(): string | undefined {
    if (this.probeOrder.length === 0) {
      this.probeOrder = this.random.shuffle(
        this.table.getMembers().map((member) => member.id),
      );
    }
    return this.probeOrder.pop();
  }

  private suspect(id: string): void {
    if (!this.options.guard.isFresh()) return;
    this.table.markSilent(id, readClock());
    this.publish();
  }

  private announce(isUnavailable: boolean): void {
    this.table.setUnavailable(isUnavailable);
    for (const member of this.table.getMembers()) this.rounds.probe(member.id);
    this.publish();
  }

  private sendRelays(target: string, nonce: number): void {
    const helpers = this.table.getMembers().filter((member) =>
      member.status === "alive" && member.id !== target
    );
    for (const helper of this.random.shuffle(helpers).slice(0, 2)) {
      this.send(helper.id, { type: "relay", ...this.header(nonce), target });
    }
  }

  private send(target: string, message: ProbeMessage): void {
    const address = this.peerAddresses.get(target);
    if (address) this.socket?.send(message, address);
  }

  private header(nonce: number) {
    const self = this.table.getSelf();
    return {
      from: self.id,
      incarnation: self.incarnation,
      unavailable: self.unavailable,
      nonce,
      ...this.options.getConfiguration(),
      hosts: this.hostList.version,
      rumours: this.table.takeRumours(RUMOURS_PER_MESSAGE),
      loads: this.options.getLoads(),
    };
  }

  private publish(): void {
    const isUnchanged = this.table.changes === this.publishedChanges;
    if (isUnchanged && this.currentView.version === this.hostList.version) {
      return;
    }
    this.publishedChanges = this.table.changes;
    const routers = viewRouters(this.hostList, this.table);
    const upstreams = this.hostList.hosts.filter((host) =>
      host.role !== "router"
    );
    logChanges(this.currentView, routers, this.options.logger);
    this.currentView = FleetView.create(
      this.options.settings.id,
      this.hostList.version,
      routers,
      upstreams,
    );
    this.options.onView(this.currentView);
  }
}
