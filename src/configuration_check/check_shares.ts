import type {
  PublishedConfiguration,
  Route,
} from "../published/configuration_schema.ts";
import type { ConfigurationCheck, Finding } from "./finding.ts";
import { findRepeated } from "./find_repeated.ts";

/** Finds services that get no requests, and routes to services that are not listed. */
export const checkShares: ConfigurationCheck = (configuration) => {
  const { routes, services } = configuration;
  const listed = new Set(services.map(({ name }) => name));
  return [
    ...routes.flatMap(checkWeights),
    ...routes.flatMap((route) => findUnlisted(route, listed)),
    ...findUnused(configuration),
  ];
};

function checkWeights(route: Route): Finding[] {
  const { shares } = route;
  const isEmpty = shares.every(({ weight }) => weight === 0);
  if (isEmpty) {
    const { service } = shares[0]!;
    return [
      report(route, `all weights are 0: service ${service} gets all requests`),
    ];
  }
  return [
    ...shares.filter(({ weight }) => weight === 0).map(({ service }) =>
      report(route, `service ${service} has weight 0 and gets no requests`)
    ),
    ...findRepeated(shares, ({ service }) => service).map(({ item }) =>
      report(route, `service ${item.service} is named more than once`)
    ),
  ];
}

function findUnlisted(
  route: Route,
  listed: ReadonlySet<string>,
): Finding[] {
  return route.shares.filter(({ service }) => !listed.has(service)).map((
    { service },
  ) => report(route, `service ${service} is not listed`));
}

function findUnused(
  { routes, services }: PublishedConfiguration,
): Finding[] {
  const named = new Set(
    routes.flatMap(({ shares }) => shares.map(({ service }) => service)),
  );
  return services.filter(({ name }) => !named.has(name)).map(({ name }) => ({
    severity: "warning",
    kind: "service",
    name,
    field: "name",
    message: "no route names the service",
  }));
}

function report({ name }: Route, message: string): Finding {
  return {
    severity: "warning",
    kind: "route",
    name,
    field: "shares",
    message,
  };
}
