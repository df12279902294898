import type { ConfigurationCheck, Finding } from "./finding.ts";
import { findRepeated } from "./find_repeated.ts";

/** Finds API keys that do not identify one customer, and customers whose requests are never accepted. Messages do not
 * contain keys. */
export const checkKeys: ConfigurationCheck = ({ customers = [], routes }) => {
  const owned = customers.flatMap(({ name, keys }) =>
    keys.map((key) => ({ name, key }))
  );
  return [
    ...findRepeated(owned, ({ key }) => key).map(({ item, first }) =>
      item.name === first.name
        ? report("warning", item.name, "a key is listed more than once")
        : report("error", item.name, `customer ${first.name} has a key of it`)
    ),
    ...owned.filter(({ key }) => key === "").map(({ name }) =>
      report("error", name, "a key is empty")
    ),
    ...customers.filter(({ keys }) => keys.length === 0).map(({ name }) =>
      report("warning", name, "has no key, so that none of its requests match")
    ),
    ...routes.length > 0 && routes.every(({ isAnonymous }) => isAnonymous)
      ? customers.map(({ name }) =>
        report("warning", name, "no route needs a key")
      )
      : [],
  ];
};

function report(
  severity: Finding["severity"],
  name: string,
  message: string,
): Finding {
  return { severity, kind: "customer", name, field: "keys", message };
}
