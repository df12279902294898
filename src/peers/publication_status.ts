/** Status of a host's copy of the publication. */
export interface PublicationStatus {
  /** Digest of the copy. */
  digest: number;
  /** Highest revision merged into the copy. */
  revision: number;
  /** Age of the copy, in milliseconds; -1 if the host has none. */
  publicationAgeMs: number;
  /** Whether the platform does not respond to the host, so that nothing newer can be learned from it. */
  isPlatformUnavailable: boolean;
}
