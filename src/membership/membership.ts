import { readClock } from "../clock/clock.ts";
import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { PauseDetector } from "../clock/pause_detector.ts";
import type { Logger } from "../logging/logger.ts";
import type { PeerAuthenticator } from "../peer/peer_authenticator.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import { Random } from "../random/random.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { FleetView } from "./fleet_view.ts";
import { buildRouterViews, logRouterChanges } from "./router_views.ts";
import { MemberTable } from "./member_table.ts";
import type { ProbeMessage } from "./probe_message.ts";
import { type DatagramAddress, ProbeSocket } from "./probe_socket.ts";
import { Prober } from "./prober.ts";

/** Maximum number of rumours piggybacked on one datagram. */
const MAX_RUMOURS_PER_MESSAGE = 6;

/** Dependencies and callbacks of `Membership`. */
export interface MembershipOptions {
  settings: Settings;
  system: ActorSystem;
  authenticator: PeerAuthenticator;
  pauseDetector: PauseDetector;
  logger: Logger;
  /** Returns digest and revision of this router's configuration. */
  getConfiguration: () => { digest: number; revision: number };
  /** Returns the loads of the upstreams that this router owns, in the form of `ProbeMessage.loads`. */
  getLoads: () => [number, number][];
  /** Called with the configuration digest and revision in every message from a peer. */
  onPeerConfiguration: (
    peerId: string,
    digest: number,
    revision: number,
  ) => void;
  /** Called with the upstream loads in every message from a peer. */
  onPeerLoads: (id: string, loads: readonly [number, number][]) => void;
  /** Called for every message from a peer whose host list is newer than this router's. */
  onNewerHostList: (peerId: string, version: number) => void;
  /** Called with every new view. */
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

/** Actor that owns the probe socket and the member table, and publishes a view of the fleet on every change. */
export class Membership {
  private readonly table: MemberTable;
  private readonly random = Random.create();
  private readonly actor: Actor<MembershipMessages>;
  private readonly prober: Prober;
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
    this.prober = Prober.create(settings.membership.probeTimeoutMs, {
      sendPing: (target, nonce) =>
        this.send(target, { type: "ping", ...this.buildHeader(nonce) }),
      requestIndirectProbes: (target, nonce) =>
        this.requestIndirectProbes(target, nonce),
      onProbeFailed: (target) => this.actor.tell("unreachable", target),
    });
    this.actor = Actor.create<MembershipMessages>(
      options.system,
      "membership",
      {
        datagram: ({ message, from }) => this.handleMessage(message, from),
        hostList: (list) => this.applyHostList(list),
        tick: () => this.probeNextMembers(),
        unreachable: (id) => this.suspect(id),
        unavailable: (isUnavailable) =>
          this.announceAvailability(isUnavailable),
        push: () => this.sendLoadsNow(),
      },
      options.logger,
    );
    this.timer = setInterval(
      () => this.actor.tell("tick", null),
      settings.membership.probeIntervalMs,
    );
  }

  /** Binds the probe socket and starts probing.
   * @param options Dependencies and callbacks. */
  static async create(options: MembershipOptions): Promise<Membership> {
    const membership = new Membership(options, undefined);
    const { host, port } = options.settings.peer;
    membership.socket = await ProbeSocket.create(
      { address: host, port },
      options.authenticator,
      (message, from) => membership.actor.tell("datagram", { message, from }),
    );
    return membership;
  }

  /** The host list in use. */
  get hosts(): HostList {
    return this.hostList;
  }

  /** The current view of the fleet. */
  get view(): FleetView {
    return this.currentView;
  }

  /** Bytes and datagrams sent since this router started. */
  get traffic(): { bytes: number; messages: number } {
    return {
      bytes: this.socket?.bytesSent ?? 0,
      messages: this.socket?.messagesSent ?? 0,
    };
  }

  /** Replaces the host list, if the given one is newer.
   * @param list The host list. */
  offerHostList(list: HostList): void {
    this.actor.tell("hostList", list);
  }

  /** Marks a router suspect after a connection to it failed.
   * @param id Id of the router. */
  reportUnreachable(id: string): void {
    this.actor.tell("unreachable", id);
  }

  /** Sends this router's upstream loads to some peers now instead of at the next probe interval. */
  pushLoads(): void {
    this.actor.tell("push", null);
  }

  /** Cancels all pending probes, because acknowledgements may have been delayed while this process was paused. */
  cancelProbes(): void {
    this.prober.close();
  }

  /** Announces to the fleet whether this router is unavailable, which it is initially.
   * @param isUnavailable Whether callers and work should go to other routers. */
  setUnavailable(isUnavailable: boolean): void {
    this.actor.tell("unavailable", isUnavailable);
  }

  /** Stops probing and closes the socket. */
  close(): void {
    clearInterval(this.timer);
    this.prober.close();
    this.actor.close();
    this.socket?.close();
  }

  private handleMessage(message: ProbeMessage, sender: DatagramAddress): void {
    const now = readClock();
    this.table.markAlive({
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
      this.options.onNewerHostList(message.from, message.hosts);
    }
    if (message.type === "ping") {
      this.socket?.send(
        { type: "ack", ...this.buildHeader(message.nonce) },
        sender,
      );
    }
    if (message.type === "relay") {
      this.relay(message.target, message.nonce, sender);
    }
    if (message.type === "ack") this.acknowledge(message.from, message.nonce);
    if (message.type === "relayed") {
      this.table.markAlive(message.target, now);
      this.acknowledge(message.target.id, message.nonce);
    }
    this.publishView();
  }

  /** Completes a probe. A pause of this process that was not noticed before is noticed first and cancels the pending
   * probes, so that an acknowledgement which was delayed by the pause is ignored. */
  private acknowledge(id: string, nonce: number): void {
    this.options.pauseDetector.isFresh();
    if (this.prober.complete(id, nonce)) this.options.pauseDetector.markFresh();
  }

  /** Probes a member on behalf of another router and sends that router the member's state if the member acknowledges the
   * probe. */
  private relay(target: string, nonce: number, sender: DatagramAddress): void {
    this.prober.probe(target, () => {
      const member = this.table.getMember(target);
      if (!member) return;
      const { id, incarnation, status, unavailable } = member;
      const rumour = { id, incarnation, status, unavailable };
      this.socket?.send({
        type: "relayed",
        ...this.buildHeader(nonce),
        target: rumour,
      }, sender);
    });
  }

  private applyHostList(list: HostList): void {
    if (list.version <= this.hostList.version) return;
    this.hostList = list;
    const routers = list.hosts.filter((host) => host.role === "router");
    this.table.setListedRouters(routers.map((host) => host.id), readClock());
    this.peerAddresses = new Map(
      routers.map((
        host,
      ) => [host.id, { address: host.address, port: host.peerPort ?? 0 }]),
    );
    this.probeOrder = [];
    this.publishView();
  }

  /** Runs once per probe interval. While no member is alive, no acknowledgement is expected that would end the
   * stale state of the pause detector, so it is ended here. */
  private probeNextMembers(): void {
    this.options.pauseDetector.isFresh();
    this.table.expireSuspicions(readClock());
    if (this.table.getMembers().every((member) => member.status !== "alive")) {
      this.options.pauseDetector.markFresh();
    }
    for (
      let count = 0;
      count < this.options.settings.membership.probeFanout;
      count++
    ) {
      const target = this.nextTarget();
      if (target) this.prober.probe(target);
    }
    this.publishView();
  }

  /** Probes twice as many members as one interval does, since every probe carries the loads. */
  private sendLoadsNow(): void {
    for (
      const member of this.table.getMembers().slice(
        0,
        this.options.settings.membership.probeFanout * 2,
      )
    ) {
      this.prober.probe(member.id);
    }
  }

  /** Returns the next member in a random order that visits every member once before it is drawn again, as in SWIM. */
  private nextTarget(): string | undefined {
    if (this.probeOrder.length === 0) {
      this.probeOrder = this.random.shuffle(
        this.table.getMembers().map((member) => member.id),
      );
    }
    return this.probeOrder.pop();
  }

  /** Marks a member suspect, unless this process was paused and no probe was acknowledged since: the pause itself
   * may be why no acknowledgement from the member was received. */
  private suspect(id: string): void {
    if (!this.options.pauseDetector.isFresh()) return;
    this.table.markSuspect(id, readClock());
    this.publishView();
  }

  private announceAvailability(isUnavailable: boolean): void {
    this.table.setUnavailable(isUnavailable);
    for (const member of this.table.getMembers()) this.prober.probe(member.id);
    this.publishView();
  }

  private requestIndirectProbes(target: string, nonce: number): void {
    const relays = this.table.getMembers().filter((member) =>
      member.status === "alive" && member.id !== target
    );
    for (const relay of this.random.shuffle(relays).slice(0, 2)) {
      this.send(relay.id, {
        type: "relay",
        ...this.buildHeader(nonce),
        target,
      });
    }
  }

  private send(target: string, message: ProbeMessage): void {
    const address = this.peerAddresses.get(target);
    if (address) this.socket?.send(message, address);
  }

  private buildHeader(nonce: number) {
    const ownRumour = this.table.getOwnRumour();
    return {
      from: ownRumour.id,
      incarnation: ownRumour.incarnation,
      unavailable: ownRumour.unavailable,
      nonce,
      ...this.options.getConfiguration(),
      hosts: this.hostList.version,
      rumours: this.table.takeRumours(MAX_RUMOURS_PER_MESSAGE),
      loads: this.options.getLoads(),
    };
  }

  private publishView(): void {
    const isUnchanged = this.table.changes === this.publishedChanges;
    if (isUnchanged && this.currentView.version === this.hostList.version) {
      return;
    }
    this.publishedChanges = this.table.changes;
    const routers = buildRouterViews(this.hostList, this.table);
    const upstreams = this.hostList.hosts.filter((host) =>
      host.role !== "router"
    );
    logRouterChanges(this.currentView, routers, this.options.logger);
    this.currentView = FleetView.create(
      this.options.settings.id,
      this.hostList.version,
      routers,
      upstreams,
    );
    this.options.onView(this.currentView);
  }
}
