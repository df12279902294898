import { hashText } from "../hashing/hasher.ts";
import { validateDocument } from "./validate_document.ts";
import type {
  ConfigurationDocument,
  PublishedValue,
} from "./document_schema.ts";

/** Result of merging one published value. */
export type OfferOutcome =
  | {
    type: "accepted";
    document: ConfigurationDocument;
    previousRevision: number;
  }
  | { type: "refused"; reasons: string[] }
  /** The revision is the current one, or is the last one refused for the key. */
  | { type: "duplicate" }
  /** A higher revision remains current. */
  | { type: "superseded"; current: number };

interface AcceptedDocument {
  published: PublishedValue;
  document: ConfigurationDocument;
}

/** The accepted documents of one router.
 * For each key the highest accepted revision is current. Merging is commutative and idempotent, so routers that receive
 * the same values, in any order, hold the same documents. */
export class DocumentStore {
  private readonly accepted = new Map<string, AcceptedDocument>();
  private readonly refused = new Map<string, number>();
  private highestRevision = 0;
  private digestSum = 0;

  private constructor() {}

  /** Creates an empty store. */
  static create(): DocumentStore {
    return new DocumentStore();
  }

  /** Merges a published value.
   * @param published The value, from the platform or a peer. */
  offer(published: PublishedValue): OfferOutcome {
    const current = this.accepted.get(published.key)?.published.revision ?? 0;
    if (published.revision === current) return { type: "duplicate" };
    if (published.revision < current) return { type: "superseded", current };
    if (this.refused.get(published.key) === published.revision) {
      return { type: "duplicate" };
    }
    const decision = validateDocument(published);
    if (decision.isErr()) {
      this.refused.set(published.key, published.revision);
      return { type: "refused", reasons: decision.error };
    }
    this.store(published, decision.value);
    return {
      type: "accepted",
      document: decision.value,
      previousRevision: current,
    };
  }

  /** The current documents by key. */
  getDocuments(): ReadonlyMap<string, AcceptedDocument> {
    return this.accepted;
  }

  /** Returns the current values with a revision above the given one, sorted by revision.
   * @param revision Values with a higher revision are returned. */
  getValuesAfter(revision: number): PublishedValue[] {
    return [...this.accepted.values()].map((entry) => entry.published)
      .filter((value) => value.revision > revision)
      .sort((a, b) => a.revision - b.revision || (a.key < b.key ? -1 : 1));
  }

  /** Highest accepted revision. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Digest that is equal on routers that hold the same documents; updated incrementally on each change. */
  get digest(): number {
    return this.digestSum;
  }

  private store(
    published: PublishedValue,
    document: ConfigurationDocument,
  ): void {
    this.highestRevision = Math.max(this.highestRevision, published.revision);
    const previous = this.accepted.get(published.key)?.published;
    if (previous) {
      this.digestSum = (this.digestSum - hashPublishedValue(previous)) >>> 0;
    }
    this.accepted.set(published.key, { published, document });
    this.digestSum = (this.digestSum + hashPublishedValue(published)) >>> 0;
  }
}

function hashPublishedValue(published: PublishedValue): number {
  return hashText(published.key, published.revision);
}
