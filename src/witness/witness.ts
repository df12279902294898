import { setTimeout as delay } from "node:timers/promises";
import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { KeyRegister } from "./key_register.ts";
import { Tenure } from "./tenure.ts";
import { getWitnesses } from "./witness_set.ts";

const EXPIRE_INTERVAL_MS = 5_000;
const PULL_TIMEOUT_MS = 2_000;
const SYNCHRONIZE_RETRY_MS = 250;

/** What a witness needs of the rest of the router. */
export interface WitnessOptions {
  settings: Settings;
  system: ActorSystem;
  logger: Logger;
  directory: PeerDirectory;
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

/** The task that remembers idempotency keys for other routers and votes on attempts. */
export class Witness {
  private readonly register: KeyRegister;
  private readonly tenure: Tenure;
  private readonly actor: Actor<WitnessMessages>;
  private readonly timer: NodeJS.Timeout;
  private routerIds: readonly string[] = [];
  private isClosed = false;

  private constructor(private readonly options: WitnessOptions) {
    this.register = KeyRegister.create(options.settings.keys.rememberMs);
    this.tenure = Tenure.create(options.settings.id);
    this.actor = Actor.create<WitnessMessages>(options.system, "witness", {
      vote: ({ port, frame }) => this.vote(port, frame),
      release: (frame) => this.register.release(frame.key, frame.attempt),
      record: (frame) => this.takeRecord(frame),
      view: (view) => this.takeView(view),
      pull: ({ port, frame }) => this.answerPull(port, frame),
      synchronized: (at) => this.tenure.markSynchronized(at),
      drain: (done) => this.handOverAll().finally(done),
      expire: () => this.register.expire(Date.now()),
    }, options.logger);
    this.timer = setInterval(
      () => this.actor.tell("expire", null),
      EXPIRE_INTERVAL_MS,
    );
  }

  /** Creates a witness that remembers nothing yet.
   * @param options What it needs. */
  static create(options: WitnessOptions): Witness {
    return new Witness(options);
  }

  /** What operators see of the witness. */
  describe(): { keys: number; synchronized: boolean } {
    return {
      keys: this.register.getRecords().size,
      synchronized: this.tenure.isSynchronized,
    };
  }

  /** Votes on an attempt; the answer goes to the port.
   * @param port Connection to the entry.
   * @param frame The attempt. */
  offerVote(port: FramePort, frame: FrameOf<"vote">): void {
    this.actor.tell("vote", { port, frame });
  }

  /** Forgets an attempt that was not run.
   * @param frame The attempt. */
  offerRelease(frame: FrameOf<"release">): void {
    this.actor.tell("release", frame);
  }

  /** Takes a record over from another witness.
   * @param frame The record. */
  offerRecord(frame: FrameOf<"record">): void {
    this.actor.tell("record", frame);
  }

  /** Sends a witness the records it should have.
   * @param port Connection to the witness.
   * @param frame Which witness asks. */
  offerPull(port: FramePort, frame: FrameOf<"pull_records">): void {
    this.actor.tell("pull", { port, frame });
  }

  /** Asks all other routers for the records this one should have, until all have answered.
   * Then it knows every attempt that the others do, and counts as settled. */
  async synchronize(): Promise<void> {
    while (!this.isClosed) {
      const startedAt = Date.now();
      const others = this.routerIds.filter((id) =>
        id !== this.options.settings.id
      );
      const pulls = await Promise.all(others.map((id) => this.pullFrom(id)));
      if (this.routerIds.length > 0 && pulls.every((worked) => worked)) {
        this.actor.tell("synchronized", startedAt);
        return;
      }
      await delay(SYNCHRONIZE_RETRY_MS);
    }
  }

  /** Takes over the present view of the fleet.
   * @param view The view. */
  offerView(view: FleetView): void {
    this.actor.tell("view", view);
  }

  /** Hands all records to those who will be witnesses when this router is gone. */
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
    const recorded = this.register.testAndSet(
      key,
      { fingerprint, attempt, holder },
      replaces,
      now,
    );
    const settled = this.tenure.isSettled(key, settleMs, clockSkewMs, now);
    port.send({
      type: "voted",
      exchange: frame.exchange,
      settled,
      ...pickRecord(recorded),
    });
  }

  private answerPull(port: FramePort, frame: FrameOf<"pull_records">): void {
    for (const [key, record] of this.register.getRecords()) {
      if (!getWitnesses(key, this.routerIds).includes(frame.witness)) continue;
      port.send({
        type: "record",
        exchange: frame.exchange,
        key,
        ...pickRecord(record),
      });
    }
    port.send({ type: "records_sent", exchange: frame.exchange });
  }

  /** Pulls the records that one router has; returns whether it sent them all. */
  private async pullFrom(routerId: string): Promise<boolean> {
    const witness = this.options.settings.id;
    return await this.options.directory.gather(
      routerId,
      (exchange) => ({ type: "pull_records", exchange, witness }),
      (frame) => {
        if (frame.type === "records_sent") return "all";
        if (frame.type !== "record") return "wrong";
        this.offerRecord(frame);
        return "more";
      },
      PULL_TIMEOUT_MS,
    );
  }

  private takeRecord(frame: FrameOf<"record">): void {
    this.register.testAndSet(frame.key, pickRecord(frame), "", Date.now());
  }

  private async takeView(view: FleetView): Promise<void> {
    const routerIds = view.routers.map((router) => router.host.id);
    if (routerIds.join() === this.routerIds.join()) return;
    const before = this.routerIds;
    this.routerIds = routerIds;
    this.tenure.recordList(routerIds, Date.now());
    await this.handOver(before, routerIds);
  }

  private async handOverAll(): Promise<void> {
    const others = this.routerIds.filter((id) =>
      id !== this.options.settings.id
    );
    await this.handOver(this.routerIds, others);
  }

  /** Sends each record to the witnesses that are new to its key. */
  private async handOver(
    before: readonly string[],
    after: readonly string[],
  ): Promise<void> {
    for (const [key, record] of this.register.getRecords()) {
      const known = new Set(getWitnesses(key, before));
      const fresh = getWitnesses(key, after).filter((id) =>
        !known.has(id) && id !== this.options.settings.id
      );
      for (const id of fresh) {
        const client = await this.options.directory.getClient(id);
        client?.send({
          type: "record",
          exchange: 0,
          key,
          ...pickRecord(record),
        });
      }
    }
  }
}

function pickRecord(
  record: { fingerprint: string; attempt: string; holder: string },
) {
  return {
    fingerprint: record.fingerprint,
    attempt: record.attempt,
    holder: record.holder,
  };
}
