import { readClock } from "../clock/clock.ts";
import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { AuditTrail } from "../audit/audit_trail.ts";
import type { Logger } from "../logging/logger.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import { CustomerDirectory } from "./customer_directory.ts";
import type { PublishedValue } from "./document_schema.ts";
import { DocumentStore } from "./document_store.ts";

const VALUES_PER_FRAME = 50;
const PULL_TIMEOUT_MS = 2_000;
/** Minimum time between two pulls from the same peer. */
const MIN_PULL_INTERVAL_MS = 300;

/** Dependencies of the configuration replica. */
export interface ConfigurationReplicaOptions {
  system: ActorSystem;
  logger: Logger;
  audit: AuditTrail;
  connectionPool: PeerConnectionPool;
}

type ReplicaMessages = {
  offer: {
    values: readonly PublishedValue[];
    source: string;
    done: () => void;
  };
  peer: { peerId: string; digest: number; revision: number };
};

/** This router's replica of the configuration.
 * An actor that owns the accepted documents and merges values from the platform and from peers. Replicas converge by
 * anti-entropy: each compares its digest with those of its peers and pulls what it lacks. */
export class ConfigurationReplica {
  private readonly store = DocumentStore.create();
  private readonly actor: Actor<ReplicaMessages>;
  private readonly lastPullAt = new Map<string, number>();
  private snapshot = CustomerDirectory.create(this.store);

  private constructor(private readonly options: ConfigurationReplicaOptions) {
    this.actor = Actor.create<ReplicaMessages>(
      options.system,
      "configuration",
      {
        offer: ({ values, source, done }) => this.merge(values, source, done),
        peer: ({ peerId, digest, revision }) =>
          this.pullIfBehind(peerId, digest, revision),
      },
      options.logger,
    );
  }

  /** Creates a replica without documents.
   * @param options Its dependencies. */
  static create(options: ConfigurationReplicaOptions): ConfigurationReplica {
    return new ConfigurationReplica(options);
  }

  /** The customers defined by the current documents. */
  get customers(): CustomerDirectory {
    return this.snapshot;
  }

  /** The accepted documents. */
  get documents(): DocumentStore {
    return this.store;
  }

  /** Merges published values; resolves when all have been processed.
   * @param values The values.
   * @param source Origin of the values, for the audit trail. */
  async offer(
    values: readonly PublishedValue[],
    source: string,
  ): Promise<void> {
    await new Promise<void>((done) =>
      this.actor.tell("offer", { values, source, done })
    );
  }

  /** Compares a peer's digest with this replica's and pulls missing documents if they differ. From a peer with a higher
   * revision only newer values are pulled; from a peer with the same revision but another digest, all values. A peer
   * with a lower revision is expected to pull from this router.
   * @param peerId The peer.
   * @param digest Digest of the peer's documents.
   * @param revision Highest revision that the peer has accepted. */
  reconcileWithPeer(peerId: string, digest: number, revision: number): void {
    if (digest !== this.store.digest) {
      this.actor.tell("peer", { peerId, digest, revision });
    }
  }

  /** Pulls all documents from a peer; returns whether the response was complete.
   * @param peerId The peer. */
  async pullAll(peerId: string): Promise<boolean> {
    return await this.pull(peerId, 0);
  }

  /** Sends the values that a peer requests, in batches.
   * @param port Connection to the peer.
   * @param frame The peer's request. */
  handlePull(port: FramePort, frame: FrameOf<"pull">): void {
    const values = this.store.getValuesAfter(frame.after);
    let start = 0;
    do {
      const batch = values.slice(start, start + VALUES_PER_FRAME);
      start += VALUES_PER_FRAME;
      port.send({
        type: "values",
        exchange: frame.exchange,
        values: batch,
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
      isChanged = this.mergeValue(value, source) || isChanged;
    }
    if (isChanged) this.snapshot = CustomerDirectory.create(this.store);
    done();
  }

  private mergeValue(value: PublishedValue, source: string): boolean {
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
    if (outcome.type === "superseded") {
      const why = `from ${source}, revision ${outcome.current} stays in force`;
      this.options.audit.add({
        action: "document_superseded",
        ...subject,
        why,
      });
    }
    return outcome.type === "accepted";
  }

  private pullIfBehind(peerId: string, digest: number, revision: number): void {
    if (digest === this.store.digest || revision < this.store.revision) return;
    const now = readClock();
    if (
      now - (this.lastPullAt.get(peerId) ?? -MIN_PULL_INTERVAL_MS) <
        MIN_PULL_INTERVAL_MS
    ) return;
    this.lastPullAt.set(peerId, now);
    const after = revision > this.store.revision ? this.store.revision : 0;
    void this.pull(peerId, after);
  }

  private async pull(peerId: string, after: number): Promise<boolean> {
    let mergeDone = Promise.resolve();
    const isComplete = await this.options.connectionPool.requestStream(
      peerId,
      (exchange) => ({ type: "pull", exchange, after }),
      (frame) => {
        if (frame.type !== "values") return "wrong";
        mergeDone = this.offer(frame.values, peerId);
        return frame.last ? "all" : "more";
      },
      PULL_TIMEOUT_MS,
    );
    // The actor handles batches in order, so the last one to be merged completes the pull.
    await mergeDone;
    return isComplete;
  }
}
