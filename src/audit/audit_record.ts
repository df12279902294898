/** One entry of the audit trail. */
export interface AuditRecord {
  /** Milliseconds since the epoch. */
  at: number;
  /** The action, such as `document_accepted` or `upstream_taken_over`. */
  action: string;
  /** The originator: a partner, an operator or a router. */
  who: string;
  /** The subject: a document key, an upstream or a router. */
  what: string;
  /** Revision of the document, or 0 if the subject is not a document. */
  revision: number;
  /** The reason, in human-readable form. */
  why: string;
}
