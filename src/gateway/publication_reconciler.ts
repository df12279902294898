import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { PublicationStatus } from "../peers/publication_status.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import type { PublicationExchange } from "./publication_exchange.ts";

/** Dependencies of a {@link PublicationReconciler}. */
export interface PublicationReconcilerOptions {
  replica: PublicationReplica;
  publicationExchange: PublicationExchange;
}

/** Compares this host's copy of the publication with those of other hosts, and fetches fresher ones. */
export class PublicationReconciler {
  private constructor(private readonly options: PublicationReconcilerOptions) {}

  /** Creates a reconciler.
   * @param options Its dependencies. */
  static create(options: PublicationReconcilerOptions): PublicationReconciler {
    return new PublicationReconciler(options);
  }

  /** Returns the status of this host's copy. */
  getStatus(): PublicationStatus {
    const { ageMs, digest, revision } = this.options.replica;
    const publicationAgeMs = Number.isFinite(ageMs) ? ageMs : -1;
    return { digest, revision, publicationAgeMs };
  }

  /** Compares another host's status with the local copy. Equal digests confirm that the local copy is as recent as the
   * host's; a fresher host is asked for its copy.
   * @param host The host.
   * @param status Its status.
   * @param requestedAt Monotonic milliseconds at which the status was requested. */
  reconcile(
    host: PeerEntry,
    status: PublicationStatus,
    requestedAt: number,
  ): void {
    const { replica, publicationExchange } = this.options;
    const { digest, revision, publicationAgeMs } = status;
    if (publicationAgeMs < 0) return;
    if (digest === replica.digest) {
      replica.confirmFreshness(digest, requestedAt - publicationAgeMs);
      return;
    }
    const isFresher = publicationAgeMs < replica.ageMs ||
      revision > replica.revision;
    if (isFresher) void publicationExchange.fetch(host.id, host.peerAddress);
  }
}
