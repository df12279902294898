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

  private constructor(private readonly options: WitnessOptions) {
    this.register = KeyRegister.create(options.settings.keys.rememberMs);
    this.tenure = Tenure.create(options.settings.id);
    this.actor = Actor.create<WitnessMessages>(options.system, "witness", {
      vote: ({ port, frame }) => this.vote(port, frame),
      release: (frame) => this.register.release(frame.key, frame.attempt),
      record: (frame) => this.takeRecord(frame),
      view: (view) => this.takeView(view),
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
