import { hashText } from "../hashing/hasher.ts";
import { acceptDocument } from "./accept_document.ts";
import type {
  ConfigurationDocument,
  PublishedValue,
} from "./document_schema.ts";

/** What became of one published value. */
export type OfferOutcome =
  | {
    type: "accepted";
    document: ConfigurationDocument;
    previousRevision: number;
  }
  | { type: "refused"; reasons: string[] }
  | { type: "known" }
  | { type: "older"; inForce: number };

interface Accepted {
  published: PublishedValue;
  document: ConfigurationDocument;
}

/** The accepted documents of one router.
 * For each key the highest accepted revision is in force; merging is commutative and idempotent,
 * so routers that have seen the same values in any order hold the same documents. */
export class DocumentStore {
  private readonly accepted = new Map<string, Accepted>();
  private readonly refused = new Map<string, number>();
  private highestRevision = 0;
  private digestSum = 0;

  private constructor() {}

  /** Creates an empty store. */
  static create(): DocumentStore {
    return new DocumentStore();
  }

  /** Merges a published value.
   * @param published The value from the platform or a peer. */
  offer(published: PublishedValue): OfferOutcome {
    const inForce = this.accepted.get(published.key)?.published.revision ?? 0;
    if (published.revision === inForce) return { type: "known" };
    if (published.revision < inForce) return { type: "older", inForce };
    if (this.refused.get(published.key) === published.revision) {
      return { type: "known" };
    }
    const decision = acceptDocument(published);
    if (decision.isErr()) {
      this.refused.set(published.key, published.revision);
      return { type: "refused", reasons: decision.error };
    }
    this.put(published, decision.value);
    return {
      type: "accepted",
      document: decision.value,
      previousRevision: inForce,
    };
  }

  /** The documents in force, by key. */
  getDocuments(): ReadonlyMap<string, Accepted> {
    return this.accepted;
  }

  /** The values in force whose revision is above one.
   * @param revision Values above this are returned. */
  getValuesAfter(revision: number): PublishedValue[] {
    return [...this.accepted.values()].map((entry) => entry.published)
      .filter((value) => value.revision > revision)
      .sort((a, b) => a.revision - b.revision || (a.key < b.key ? -1 : 1));
  }

  /** Highest revision that was accepted. */
  get revision(): number {
    return this.highestRevision;
  }

  /** A number equal on two routers that hold the same documents; kept up with each change. */
  get digest(): number {
    return this.digestSum;
  }

  private put(
    published: PublishedValue,
    document: ConfigurationDocument,
  ): void {
    this.highestRevision = Math.max(this.highestRevision, published.revision);
    const previous = this.accepted.get(published.key)?.published;
    if (previous) {
      this.digestSum = (this.digestSum - fingerprint(previous)) >>> 0;
    }
    this.accepted.set(published.key, { published, document });
    this.digestSum = (this.digestSum + fingerprint(published)) >>> 0;
  }
}

function fingerprint(published: PublishedValue): number {
  return hashText(published.key, published.revision);
}
