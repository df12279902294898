import type { PublishedConfiguration } from "../published/configuration_schema.ts";

/** Severities, worst first. `error`: the configuration is refused, or an entry of it never takes effect; `warning`: it
 * is accepted, but hardly means what it says. */
export const SEVERITIES = ["error", "warning"] as const;

/** Severity of a finding. */
export type Severity = typeof SEVERITIES[number];

/** Kinds of entries in a configuration. */
export type EntryKind = "document" | "route" | "service" | "customer";

/** Something that a check found. */
export interface Finding {
  severity: Severity;
  kind: EntryKind;
  /** Name of the entry; empty for the document itself. */
  name: string;
  /** Field of the entry that the finding concerns. */
  field: string;
  message: string;
}

/** What checks know beside the configuration. */
export interface CheckContext {
  /** Retries that the fleet may send per request; undefined if the settings of the hosts are not known. */
  retryRatio: number | undefined;
}

/** Checks one aspect of a configuration. */
export type ConfigurationCheck = (
  configuration: PublishedConfiguration,
  context: CheckContext,
) => Finding[];
