import type { ConfigurationCheck, EntryKind, Finding } from "./finding.ts";
import { findRepeated } from "./find_repeated.ts";

/** Finds entries of one kind that have the name of another. */
export const checkNames: ConfigurationCheck = (
  { routes, services, customers = [] },
) => [
  ...findSameNames("route", routes),
  ...findSameNames("service", services),
  ...findSameNames("customer", customers),
];

function findSameNames(
  kind: EntryKind,
  entries: readonly { name: string }[],
): Finding[] {
  return findRepeated(entries, ({ name }) => name).map(({ item }) => ({
    severity: "error",
    kind,
    name: item.name,
    field: "name",
    message: `another ${kind} has the same name`,
  }));
}
