/** What a host says of the publication as it knows it. */
export interface PublicationWord {
  /** Digest of what it knows. */
  digest: number;
  /** Highest revision that it has merged. */
  revision: number;
  /** Age of what it knows, in milliseconds; -1 where it knows nothing. */
  publicationAgeMs: number;
}
