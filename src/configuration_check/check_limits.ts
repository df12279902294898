import type { Route } from "../published/configuration_schema.ts";
import type { CheckContext, ConfigurationCheck } from "./finding.ts";

/** Fraction of failing requests whose further attempts the retry budget should carry. */
const MIN_COVERED_FRACTION = 0.05;

/** A contradiction between limits of a route. */
interface LimitRule {
  field: keyof Route;
  applies: (route: Route, context: CheckContext) => boolean;
  message: (route: Route) => string;
}

const RULES: readonly LimitRule[] = [
  {
    field: "timeoutMs",
    applies: ({ timeoutMs, objectiveMs }) => timeoutMs < objectiveMs,
    message: ({ objectiveMs }) => `is below the objective of ${objectiveMs} ms`,
  },
  {
    field: "gapObjectiveMs",
    applies: ({ gapObjectiveMs = 0, timeoutMs }) => gapObjectiveMs > timeoutMs,
    message: ({ timeoutMs }) => `is beyond the timeout of ${timeoutMs} ms`,
  },
  {
    field: "gapObjectiveMs",
    applies: ({ kind, gapObjectiveMs }) =>
      kind !== "stream" && gapObjectiveMs !== undefined,
    message: () => "has no effect: the route has no streams",
  },
  {
    field: "isResumable",
    applies: ({ kind, isResumable }) => kind !== "stream" && isResumable,
    message: () => "has no effect: the route has no streams",
  },
  {
    field: "maxAttempts",
    applies: ({ kind, isResumable, maxAttempts }) =>
      maxAttempts > 1 &&
      (kind === "once" || kind === "stream" && !isResumable),
    message: () => "has no effect: requests of the route run at most once",
  },
  {
    field: "maxAttempts",
    applies: ({ maxAttempts }, { retryRatio }) =>
      retryRatio !== undefined && maxAttempts > 1 &&
      retryRatio / (maxAttempts - 1) < MIN_COVERED_FRACTION,
    message: () =>
      `is more than the retry budget carries once ${
        100 * MIN_COVERED_FRACTION
      } in 100 requests fail`,
  },
];

/** Finds limits of a route that contradict each other, or the retry budget. */
export const checkLimits: ConfigurationCheck = ({ routes }, context) =>
  routes.flatMap((route) =>
    RULES.filter(({ applies }) => applies(route, context)).map((
      { field, message },
    ) => ({
      severity: "warning",
      kind: "route",
      name: route.name,
      field,
      message: message(route),
    }))
  );
