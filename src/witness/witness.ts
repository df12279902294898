import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { KeyRecordStore } from "./key_record_store.ts";
import { WitnessHistory } from "./witness_history.ts";
import { getWitnesses } from "./witness_set.ts";

const EXPIRY_INTERVAL_MS = 5_000;
const PULL_TIMEOUT_MS = 2_000;
const SYNCHRONIZE_RETRY_MS = 250;
/** Minimum time between two log lines about routers that have not sent their records, in milliseconds. */
const WAIT_LOG_INTERVAL_MS = 2_000;
/** Maximum number of these routers in a log line. */
const MAX_LOGGED_ROUTERS = 8;

/** Dependencies of a `Witness`. */
export interface WitnessOptions {
  settings: Settings;
  system: ActorSystem;
  logger: Logger;
  connectionPool: PeerConnectionPool;
}

type WitnessMessages = {
  vote: { port: FramePort; frame: FrameOf<"vote"> };
  release: FrameOf<"release">;
  record: FrameOf<"record">;
  view: FleetView;
  pull: { port: FramePort; frame: FrameOf<"pull_records"> };
  synchronized: number;
  drain: () => void;
  expire: null;
};

/** Actor that stores idempotency-key records for the fleet and votes on attempts. */
export class Witness {
  private readonly recordStore: KeyRecordStore;
  private readonly history: WitnessHistory;
  private readonly actor: Actor<WitnessMessages>;
  private readonly timer: NodeJS.Timeout;
  private routerIds: readonly string[] = [];
  private isClosed = false;
  private waitLoggedAt = -Infinity;

  private constructor(private readonly options: WitnessOptions) {
    this.recordStore = KeyRecordStore.create(options.settings.keys.rememberMs);
    this.history = WitnessHistory.create(options.settings.id);
    this.actor = Actor.create<WitnessMessages>(options.system, "witness", {
      vote: ({ port, frame }) => this.vote(port, frame),
      release: (frame) => this.recordStore.release(frame.key, frame.attempt),
      record: (frame) => this.storeRecord(frame),
      view: (view) => this.applyView(view),
      pull: ({ port, frame }) => this.sendRecords(port, frame),
      synchronized: (at) => this.history.markSynchronized(at),
      drain: (done) => this.transferAllRecords().finally(done),
      expire: () => this.recordStore.expire(Date.now()),
    }, options.logger);
    this.timer = setInterval(
      () => this.actor.tell("expire", null),
      EXPIRY_INTERVAL_MS,
    );
  }

  /** Creates a witness without records. */
  static create(options: WitnessOptions): Witness {
    return new Witness(options);
  }

  /** Returns the witness part of the status response. */
  describe(): { keys: number; synchronized: boolean } {
    return {
      keys: this.recordStore.getRecords().size,
      synchronized: this.history.isSynchronized,
    };
  }

  /** Votes on an attempt and sends the vote to the port.
   * @param port Connection to the router that requests the vote.
   * @param frame The vote request. */
  handleVote(port: FramePort, frame: FrameOf<"vote">): void {
    this.actor.tell("vote", { port, frame });
  }

  /** Removes the record of an attempt that was not run.
   * @param frame Key and id of the attempt. */
  handleRelease(frame: FrameOf<"release">): void {
    this.actor.tell("release", frame);
  }

  /** Stores a record sent by another router, unless the key has one.
   * @param frame The record. */
  handleRecord(frame: FrameOf<"record">): void {
    this.actor.tell("record", frame);
  }

  /** Sends another router the records of the keys that it is a witness of.
   * @param port Connection to that router.
   * @param frame Names that router. */
  handleRecordPull(port: FramePort, frame: FrameOf<"pull_records">): void {
    this.actor.tell("pull", { port, frame });
  }

  /** Pulls the records of the keys that this router is a witness of from all other routers, and retries until all have
   * responded in one round. This router then knows every attempt that the others know, and counts as settled. */
  async synchronize(): Promise<void> {
    while (!this.isClosed) {
      const startedAt = Date.now();
      const others = this.routerIds.filter((id) =>
        id !== this.options.settings.id
      );
      const pulls = await Promise.all(
        others.map((id) => this.pullRecordsFrom(id)),
      );
      if (this.routerIds.length > 0 && pulls.every((succeeded) => succeeded)) {
        this.actor.tell("synchronized", startedAt);
        return;
      }
      this.logWait(others.filter((_, index) => !pulls[index]));
      await delay(SYNCHRONIZE_RETRY_MS);
    }
  }

  /** Logs which routers have not sent their records, at a bounded rate. */
  private logWait(routerIds: readonly string[]): void {
    const now = readClock();
    if (now - this.waitLoggedAt < WAIT_LOG_INTERVAL_MS) return;
    this.waitLoggedAt = now;
    const routers = routerIds.slice(0, MAX_LOGGED_ROUTERS).join(",");
    this.options.logger.info(
      { reason: "key_records", count: routerIds.length, routers },
      "router_waiting",
    );
  }

  /** Applies a new view of the fleet.
   * @param view The view. */
  handleViewChange(view: FleetView): void {
    this.actor.tell("view", view);
  }

  /** Sends all records to the routers that become witnesses of their keys when this router leaves. */
  async drain(): Promise<void> {
    await new Promise<void>((resolve) => this.actor.tell("drain", resolve));
  }

  /** Stops voting. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    this.actor.close();
  }

  private vote(port: FramePort, frame: FrameOf<"vote">): void {
    const { settleMs, clockSkewMs } = this.options.settings.keys;
    const { key, fingerprint, attempt, holder, replaces } = frame;
    const now = Date.now();
    const recorded = this.recordStore.compareAndSet(
      key,
      { fingerprint, attempt, holder },
      replaces,
      now,
    );
    const settled = this.history.isSettled(key, settleMs, clockSkewMs, now);
    port.send({
      type: "voted",
      exchange: frame.exchange,
      settled,
      ...toKeyRecord(recorded),
    });
  }

  private sendRecords(port: FramePort, frame: FrameOf<"pull_records">): void {
    for (const [key, record] of this.recordStore.getRecords()) {
      if (!getWitnesses(key, this.routerIds).includes(frame.witness)) continue;
      port.send({
        type: "record",
        exchange: frame.exchange,
        key,
        ...toKeyRecord(record),
      });
    }
    port.send({ type: "records_sent", exchange: frame.exchange });
  }

  /** Pulls the records of one router; returns whether it sent all of them. */
  private async pullRecordsFrom(routerId: string): Promise<boolean> {
    const witness = this.options.settings.id;
    return await this.options.connectionPool.requestStream(
      routerId,
      (exchange) => ({ type: "pull_records", exchange, witness }),
      (frame) => {
        if (frame.type === "records_sent") return "all";
        if (frame.type !== "record") return "wrong";
        this.handleRecord(frame);
        return "more";
      },
      PULL_TIMEOUT_MS,
    );
  }

  private storeRecord(frame: FrameOf<"record">): void {
    this.recordStore.compareAndSet(
      frame.key,
      toKeyRecord(frame),
      "",
      Date.now(),
    );
  }

  private async applyView(view: FleetView): Promise<void> {
    const routerIds = view.routers.map((router) => router.host.id);
    if (routerIds.join() === this.routerIds.join()) return;
    const previousIds = this.routerIds;
    this.routerIds = routerIds;
    this.history.recordRouters(routerIds, Date.now());
    await this.transferRecords(previousIds, routerIds);
  }

  private async transferAllRecords(): Promise<void> {
    const others = this.routerIds.filter((id) =>
      id !== this.options.settings.id
    );
    await this.transferRecords(this.routerIds, others);
  }

  /** Sends each record to the routers that become witnesses of its key when the list of routers changes. A router that
   * can't be reached is tried once, because this actor answers no votes meanwhile. */
  private async transferRecords(
    previousIds: readonly string[],
    currentIds: readonly string[],
  ): Promise<void> {
    const clients = new Map<string, Promise<PeerClient | undefined>>();
    for (const [key, record] of this.recordStore.getRecords()) {
      const previousWitnesses = new Set(getWitnesses(key, previousIds));
      const newWitnesses = getWitnesses(key, currentIds).filter((id) =>
        !previousWitnesses.has(id) && id !== this.options.settings.id
      );
      for (const id of newWitnesses) {
        const connecting = clients.get(id) ??
          this.options.connectionPool.getClient(id);
        clients.set(id, connecting);
        const client = await connecting;
        client?.send({
          type: "record",
          exchange: 0,
          key,
          ...toKeyRecord(record),
        });
      }
    }
  }
}

function toKeyRecord(
  record: { fingerprint: string; attempt: string; holder: string },
) {
  return {
    fingerprint: record.fingerprint,
    attempt: record.attempt,
    holder: record.holder,
  };
}
