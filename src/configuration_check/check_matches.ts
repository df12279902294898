import type { Route } from "../published/configuration_schema.ts";
import type { ConfigurationCheck, Finding } from "./finding.ts";
import { findRepeated } from "./find_repeated.ts";

/** Finds routes that no request matches, or that match more than their prefix says. */
export const checkMatches: ConfigurationCheck = ({ routes }) => [
  ...findRepeated(
    routes,
    ({ host, pathPrefix }) => `${host.toLowerCase()} ${pathPrefix}`,
  ).map(({ item, first }) =>
    report(
      item,
      "pathPrefix",
      `never matches: route ${first.name} has the same host and prefix`,
    )
  ),
  ...routes.flatMap(checkHost),
  ...routes.flatMap(checkPrefix),
];

function checkHost(route: Route): Finding[] {
  if (route.host === "") return [report(route, "host", "never matches")];
  return /:\d+$/.test(route.host)
    ? [report(route, "host", "never matches: requests match without a port")]
    : [];
}

function checkPrefix(route: Route): Finding[] {
  const { pathPrefix } = route;
  if (!pathPrefix.startsWith("/")) {
    return [report(route, "pathPrefix", "never matches: paths start with /")];
  }
  if (pathPrefix.includes("?")) {
    return [
      report(route, "pathPrefix", "never matches: the query is not compared"),
    ];
  }
  if (pathPrefix.endsWith("/")) return [];
  const finding = report(
    route,
    "pathPrefix",
    `also matches longer names, such as ${pathPrefix}x`,
  );
  return [{ ...finding, severity: "warning" }];
}

function report({ name }: Route, field: string, message: string): Finding {
  return { severity: "error", kind: "route", name, field, message };
}
