import { Err, Ok, type Result } from "ts-results-es";
import { Failure } from "../errors/failure.ts";
import type { Route } from "../published/configuration_schema.ts";
import {
  type ApiKeyOwner,
  chooseService,
  type RouteTable,
} from "../published/route_table.ts";
import { PrefixIndex } from "../upstreams/prefix_index.ts";
import type { CallerHeaders, PromptPart } from "./caller_headers.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Least urgent priority class of an engine's queue; 0 is the most urgent. */
const LEAST_URGENT_CLASS = 9;
/** Priority classes per step of customer priority, so that it outranks the route priorities, which are 0 to 2. */
const CLASSES_PER_CUSTOMER_PRIORITY = 3;

/** The input for admitting a request. */
export interface AdmissionOptions {
  routes: RouteTable | undefined;
  headers: CallerHeaders;
  method: string;
  path: string;
  receivedAt: number;
  /** Whether the known configuration is recent enough to accept keys. */
  acceptsKeys: boolean;
}

/** An admitted call without its body and fingerprint: the body is read only after admission. */
export type AdmittedCall = Omit<RoutedCall, "body" | "fingerprint">;

/** Matches a request with its route and customer, or returns why it is refused.
 * @param options The input. */
export function admitCall(
  options: AdmissionOptions,
): Result<AdmittedCall, Failure> {
  const { routes, headers, path } = options;
  if (!routes) {
    return Err(Failure.create("starting", "no configuration yet"));
  }
  if (headers.requestId === undefined) {
    return Err(Failure.create("malformed_request", "no id, or several"));
  }
  if (headers.host === undefined) {
    return Err(Failure.create("malformed_request", "no host, or several"));
  }
  const route = routes.getRoute(headers.host, path);
  if (!route) {
    return Err(Failure.create("not_found", `${headers.host} ${path}`));
  }
  const owner = findKeyOwner(routes, route, options);
  if (owner.isErr()) return owner;
  return Ok(buildCall(options, headers.requestId, route, owner.value));
}

/** Finds the owner of the request's key; undefined if the route needs no key. */
function findKeyOwner(
  routes: RouteTable,
  route: Route,
  options: AdmissionOptions,
): Result<ApiKeyOwner | undefined, Failure> {
  if (route.isAnonymous || !routes.requiresKeys) return Ok(undefined);
  const { key } = options.headers;
  if (!options.acceptsKeys) {
    return Err(Failure.create("belief_too_old", "keys are not honoured now"));
  }
  const owner = key === undefined ? undefined : routes.getApiKeyOwner(key);
  if (owner) return Ok(owner);
  return Err(
    Failure.create("unknown_key", key === undefined ? "no key" : "unknown"),
  );
}

function buildCall(
  options: AdmissionOptions,
  requestId: string,
  route: Route,
  owner: ApiKeyOwner | undefined,
): AdmittedCall {
  const { headers, method, path, receivedAt } = options;
  const sharedParts = findSharedParts(headers);
  const { remainingMs } = headers;
  return {
    requestId,
    method,
    path,
    headers,
    route,
    service: chooseService(route, sharedParts.at(-1)?.id ?? requestId),
    customer: owner?.name,
    urgency: computeUrgency(route, owner),
    sharedParts: sharedParts.map(({ id, tokens }) => ({
      name: PrefixIndex.hashPartId(id),
      tokens,
    })),
    receivedAt,
    callerDeadlineAt: remainingMs === undefined
      ? Infinity
      : receivedAt + remainingMs,
  };
}

/** Returns the parts of the prompt that other requests may share: all but the last, or the only one. */
function findSharedParts(headers: CallerHeaders): readonly PromptPart[] {
  const parts = headers.prompt?.parts ?? [];
  return parts.length > 1 ? parts.slice(0, -1) : parts;
}

function computeUrgency(route: Route, owner: ApiKeyOwner | undefined): number {
  const customerUrgency = (owner?.priority ?? 0) *
    CLASSES_PER_CUSTOMER_PRIORITY;
  return Math.max(
    0,
    Math.min(LEAST_URGENT_CLASS, customerUrgency + route.priority),
  );
}
