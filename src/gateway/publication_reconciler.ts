import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { PublicationStatus } from "../peers/publication_status.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import type { PublicationExchange } from "./publication_exchange.ts";

/** Minimum difference in age from which a host that is no source is asked for its copy, in milliseconds. Hosts that are
 * late themselves would otherwise be asked in place of sources. */
const MIN_GAIN_MS = 500;

/** Dependencies of a {@link PublicationReconciler}. */
export interface PublicationReconcilerOptions {
  replica: PublicationReplica;
  publicationExchange: PublicationExchange;
  /** Age from which the local copy is late, in milliseconds. */
  lateAgeMs: number;
  /** Whether this host learns of changes from a host, by its id. */
  isSource: (hostId: string) => boolean;
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
    const isPlatformUnavailable = this.isLate &&
      this.options.replica.isPlatformUnavailable;
    return { digest, revision, publicationAgeMs, isPlatformUnavailable };
  }

  /** Whether this host's copy is older than it is while its sources respond. */
  get isLate(): boolean {
    return this.options.replica.ageMs > this.options.lateAgeMs;
  }

  /** Compares another host's status with the local copy. Equal digests confirm that the local copy is as recent as the
   * host's, and that nothing newer can be learned if the platform does not respond to that host; a fresher host is asked
   * for its copy.
   * @param host The host.
   * @param status Its status.
   * @param requestedAt Monotonic milliseconds at which the status was requested. */
  reconcile(
    host: PeerEntry,
    status: PublicationStatus,
    requestedAt: number,
  ): void {
    const { replica, publicationExchange } = this.options;
    const { digest, publicationAgeMs, isPlatformUnavailable } = status;
    if (publicationAgeMs < 0) return;
    if (digest === replica.digest) {
      replica.confirmFreshness(digest, requestedAt - publicationAgeMs);
      // Hosts that know recent changes would otherwise confirm an outage to each other after its end.
      if (isPlatformUnavailable && this.isLate) {
        replica.recordOutage(requestedAt);
      }
      return;
    }
    if (!this.isFresher(host.id, status)) return;
    if (!isPlatformUnavailable) replica.recordFresherHost();
    void publicationExchange.fetch(host.id, host.peerAddress);
  }

  /** Whether a host is asked for its copy. */
  private isFresher(
    hostId: string,
    { revision, publicationAgeMs }: PublicationStatus,
  ): boolean {
    const { replica, isSource } = this.options;
    const gainMs = replica.ageMs - publicationAgeMs;
    if (isSource(hostId)) return gainMs > 0 || revision > replica.revision;
    return this.isLate && gainMs > MIN_GAIN_MS;
  }
}
