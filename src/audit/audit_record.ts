/** One change in the audit trail. */
export interface AuditRecord {
  /** Milliseconds since the epoch. */
  at: number;
  /** What happened, such as `document_accepted` or `upstream_taken_over`. */
  action: string;
  /** Who caused it: a partner, an operator or a router. */
  who: string;
  /** What it concerns: a document key, an upstream or a router. */
  what: string;
  /** Revision of the document, or 0 where there is none. */
  revision: number;
  /** The reason, for a person. */
  why: string;
}
