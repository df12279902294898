import { KIND_RULES, type RequestKind } from "./caller_attempt.ts";
import {
  COMPETING_CUSTOMERS,
  CUSTOMER,
  getKeyOf,
  PERMANENT_KEY,
} from "./soak_customers.ts";
import type { LoadKind } from "./worker_load.ts";

/** Host name in the requests of callers. */
export const HOST = "soak.example";

/** Builds a version of the configuration.
 * @param version The version.
 * @param key API key that only this version contains.
 * @param load How workers are loaded; several customers compete under hard load. */
export function buildConfiguration(
  version: number,
  key: string,
  load: LoadKind,
) {
  const kinds = Object.keys(KIND_RULES) as RequestKind[];
  return {
    version,
    routes: kinds.map((kind) => buildRoute(kind, version)),
    services: [
      { name: "plain", max_conns: 200 },
      { name: "engine", max_conns: 200, engine: { moves: false } },
    ],
    tenants: [
      { name: CUSTOMER, api_keys: [PERMANENT_KEY, key] },
      ...load === "steady" ? [] : COMPETING_CUSTOMERS.map((name) => ({
        name,
        api_keys: [getKeyOf(name)],
      })),
    ],
  };
}

function buildRoute(kind: RequestKind, version: number) {
  const rules = KIND_RULES[kind];
  const unaryKind = rules.mayRepeat ? "idempotent" : "non_idempotent";
  return {
    name: kind,
    host: HOST,
    path_prefix: kind === "version" ? `/version/${version}/` : `/${kind}/`,
    route_kind: rules.isStream ? "streaming" : unaryKind,
    timeout_ms: rules.timeoutMs,
    slo_ms: rules.isStream ? 400 : 120,
    service: rules.service,
    max_attempts: rules.maxAttempts,
    resumable: rules.isStream && rules.mayRepeat,
    sticky: rules.isStream,
    gap_target_ms: rules.isStream ? 400 : undefined,
  };
}
