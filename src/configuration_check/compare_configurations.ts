import { isDeepStrictEqual } from "node:util";
import type { PublishedConfiguration } from "../published/configuration_schema.ts";
import type { EntryKind, Finding } from "./finding.ts";

/** A difference between two configurations. */
export interface ConfigurationChange {
  type: "added" | "removed" | "changed";
  kind: EntryKind;
  /** Name of the entry; empty for the document itself. */
  name: string;
  /** The fields that differ, if the entry has changed. */
  fields: string[];
}

/** What a configuration changes of the one in force. */
export interface Comparison {
  changes: ConfigurationChange[];
  /** What callers or hosts would likely not expect. */
  findings: Finding[];
}

type Entry = Readonly<Record<string, unknown>> & { readonly name: string };

/** Compares a configuration with the one in force.
 * @param proposed The configuration.
 * @param inForce The one in force. */
export function compareConfigurations(
  proposed: PublishedConfiguration,
  inForce: PublishedConfiguration,
): Comparison {
  return {
    changes: [
      ...compareEntries("route", proposed.routes, inForce.routes),
      ...compareEntries("service", proposed.services, inForce.services),
      ...compareEntries(
        "customer",
        proposed.customers ?? [],
        inForce.customers ?? [],
      ),
      ...compareEntry("document", "", proposed.limits, inForce.limits),
    ],
    findings: [
      ...checkVersion(proposed, inForce),
      ...checkKeyRequirement(proposed, inForce),
      ...findRemovedKeys(proposed, inForce),
    ],
  };
}

function compareEntries(
  kind: EntryKind,
  proposed: readonly Entry[],
  inForce: readonly Entry[],
): ConfigurationChange[] {
  const before = new Map(inForce.map((entry) => [entry.name, entry]));
  const names = new Set(proposed.map(({ name }) => name));
  return [
    ...proposed.flatMap((entry) => {
      const known = before.get(entry.name);
      return known
        ? compareEntry(kind, entry.name, entry, known)
        : [describe("added", kind, entry.name)];
    }),
    ...inForce.filter(({ name }) => !names.has(name)).map(({ name }) =>
      describe("removed", kind, name)
    ),
  ];
}

function compareEntry(
  kind: EntryKind,
  name: string,
  proposed: Readonly<Record<string, unknown>>,
  inForce: Readonly<Record<string, unknown>>,
): ConfigurationChange[] {
  const fields = [
    ...new Set([...Object.keys(inForce), ...Object.keys(proposed)]),
  ].filter((field) => !isDeepStrictEqual(proposed[field], inForce[field]));
  return fields.length > 0 ? [describe("changed", kind, name, fields)] : [];
}

function describe(
  type: ConfigurationChange["type"],
  kind: EntryKind,
  name: string,
  fields: string[] = [],
): ConfigurationChange {
  return { type, kind, name, fields };
}

/** Hosts ignore a version that is not higher than the one in force. */
function checkVersion(
  proposed: PublishedConfiguration,
  inForce: PublishedConfiguration,
): Finding[] {
  if (proposed.version > inForce.version) return [];
  return [{
    severity: "error",
    kind: "document",
    name: "",
    field: "version",
    message: `is not above the version in force, ${inForce.version}`,
  }];
}

function checkKeyRequirement(
  proposed: PublishedConfiguration,
  inForce: PublishedConfiguration,
): Finding[] {
  if (proposed.customers || !inForce.customers) return [];
  return [{
    severity: "warning",
    kind: "document",
    name: "",
    field: "customers",
    message: "is left out, so that no request needs a key any more",
  }];
}

/** Finds customers of which keys are taken away. */
function findRemovedKeys(
  proposed: PublishedConfiguration,
  inForce: PublishedConfiguration,
): Finding[] {
  if (!proposed.customers) return [];
  const kept = new Map(
    proposed.customers.map(({ name, keys }) => [name, new Set(keys)]),
  );
  return (inForce.customers ?? []).flatMap(({ name, keys }) => {
    const count = keys.filter((key) => !kept.get(name)?.has(key)).length;
    if (count === 0) return [];
    return [{
      severity: "warning",
      kind: "customer",
      name,
      field: "keys",
      message: `${count} of ${keys.length} keys are taken away`,
    }];
  });
}
