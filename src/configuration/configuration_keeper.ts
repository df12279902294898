import { readClock } from "../clock/clock.ts";
import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { AuditTrail } from "../audit/audit_trail.ts";
import type { Logger } from "../logging/logger.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";
import { CustomerDirectory } from "./customer_directory.ts";
import type { PublishedValue } from "./document_schema.ts";
import { DocumentStore } from "./document_store.ts";

const VALUES_PER_FRAME = 50;
const PULL_TIMEOUT_MS = 2_000;
/** Least time between two pulls from one peer. */
const PULL_INTERVAL_MS = 300;

/** What the keeper needs of the rest of the router. */
export interface ConfigurationKeeperOptions {
  system: ActorSystem;
  logger: Logger;
  audit: AuditTrail;
  directory: PeerDirectory;
}

type KeeperMessages = {
  offer: {
    values: readonly PublishedValue[];
    source: string;
    done: () => void;
  };
  peer: { peerId: string; digest: number; revision: number };
};

/** The task that owns the accepted documents: it merges what the platform and peers publish. */
export class ConfigurationKeeper {
  private readonly store = DocumentStore.create();
  private readonly actor: Actor<KeeperMessages>;
  private readonly pulledAt = new Map<string, number>();
  private directory = CustomerDirectory.create(this.store);

  private constructor(private readonly options: ConfigurationKeeperOptions) {
    this.actor = Actor.create<KeeperMessages>(options.system, "configuration", {
      offer: ({ values, source, done }) => this.merge(values, source, done),
      peer: ({ peerId, digest, revision }) =>
        this.comparePeer(peerId, digest, revision),
    }, options.logger);
  }

  /** Creates a keeper without documents.
   * @param options What it needs. */
  static create(options: ConfigurationKeeperOptions): ConfigurationKeeper {
    return new ConfigurationKeeper(options);
  }

  /** The customers in force. */
  get customers(): CustomerDirectory {
    return this.directory;
  }

  /** The accepted documents. */
  get documents(): DocumentStore {
    return this.store;
  }

  /** Merges published values; resolves when they are in force or refused.
   * @param values The values.
   * @param source Where they come from, for the audit trail. */
  async offer(
    values: readonly PublishedValue[],
    source: string,
  ): Promise<void> {
    await new Promise<void>((done) =>
      this.actor.tell("offer", { values, source, done })
    );
  }

  /** Compares a peer's documents with the own ones and pulls what is missing: what is newer from a peer that has seen
   * more, everything from one that has seen as much but holds others; one that has seen less will pull itself.
   * @param peerId The peer.
   * @param digest Digest of its documents.
   * @param revision Highest revision it has seen. */
  noticePeer(peerId: string, digest: number, revision: number): void {
    if (digest !== this.store.digest) {
      this.actor.tell("peer", { peerId, digest, revision });
    }
  }

  /** Pulls all documents of a peer; returns whether it answered.
   * @param peerId The peer. */
  async pullAll(peerId: string): Promise<boolean> {
    return await this.pull(peerId, 0);
  }

  /** Sends the values that a peer asks for.
   * @param port Connection to the peer.
   * @param frame What it asks for. */
  answerPull(port: FramePort, frame: FrameOf<"pull">): void {
    const values = this.store.getValuesAfter(frame.after);
    let start = 0;
    do {
      const part = values.slice(start, start + VALUES_PER_FRAME);
      start += VALUES_PER_FRAME;
      port.send({
        type: "values",
        exchange: frame.exchange,
        values: part,
        last: start >= values.length,
      });
    } while (start < values.length);
  }

  /** Stops merging. */
  close(): void {
    this.actor.close();
  }

  private merge(
    values: readonly PublishedValue[],
    source: string,
    done: () => void,
  ): void {
    let isChanged = false;
    for (const value of values) {
      isChanged = this.mergeOne(value, source) || isChanged;
    }
    if (isChanged) this.directory = CustomerDirectory.create(this.store);
    done();
  }

  private mergeOne(value: PublishedValue, source: string): boolean {
    const outcome = this.store.offer(value);
    const who = value.key.split("/")[0] ?? "";
    const subject = { who, what: value.key, revision: value.revision };
    if (outcome.type === "accepted") {
      const why =
        `from ${source}, replaces revision ${outcome.previousRevision}`;
      this.options.audit.add({ action: "document_accepted", ...subject, why });
    }
    if (outcome.type === "refused") {
      this.options.audit.add({
        action: "document_refused",
        ...subject,
        why: outcome.reasons.join("; "),
      });
    }
    if (outcome.type === "older") {
      const why = `from ${source}, revision ${outcome.inForce} stays in force`;
      this.options.audit.add({
        action: "document_superseded",
        ...subject,
        why,
      });
    }
    return outcome.type === "accepted";
  }

  private comparePeer(peerId: string, digest: number, revision: number): void {
    if (digest === this.store.digest || revision < this.store.revision) return;
    const now = readClock();
    if (
      now - (this.pulledAt.get(peerId) ?? -PULL_INTERVAL_MS) < PULL_INTERVAL_MS
    ) return;
    this.pulledAt.set(peerId, now);
    const after = revision > this.store.revision ? this.store.revision : 0;
    void this.pull(peerId, after);
  }

  private async pull(peerId: string, after: number): Promise<boolean> {
    let merged = Promise.resolve();
    const hasAll = await this.options.directory.gather(
      peerId,
      (exchange) => ({ type: "pull", exchange, after }),
      (frame) => {
        if (frame.type !== "values") return "wrong";
        merged = this.offer(frame.values, peerId);
        return frame.last ? "all" : "more";
      },
      PULL_TIMEOUT_MS,
    );
    await merged;
    return hasAll;
  }
}
