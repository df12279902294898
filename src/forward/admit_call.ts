import { Err, Ok, type Result } from "ts-results-es";
import { Failure } from "../errors/failure.ts";
import type { Route } from "../published/configuration_schema.ts";
import {
  chooseService,
  type KeyHolder,
  type RouteTable,
} from "../published/route_table.ts";
import { PrefixIndex } from "../upstreams/prefix_index.ts";
import type { CallerHeaders, PromptPart } from "./caller_headers.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Least urgent class of an engine's queue. */
const LEAST_URGENT = 9;
/** Classes that a customer's priority is worth against a route's, whose priorities are 0 to 2. */
const CLASSES_PER_CUSTOMER_PRIORITY = 3;

/** What the decision on a request is made from. */
export interface AdmissionOptions {
  routes: RouteTable | undefined;
  headers: CallerHeaders;
  method: string;
  path: string;
  receivedAt: number;
  /** Whether what is known of keys is new enough to honour them. */
  mayHonourKeys: boolean;
}

/** A call but for its body, and what follows from that, which is read once the call is allowed. */
export type AdmittedCall = Omit<RoutedCall, "body" | "fingerprint">;

/** Matches a request with its route and customer, or says why it is refused.
 * @param options What the decision is made from. */
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
  const holder = findHolder(routes, route, options);
  if (holder.isErr()) return holder;
  return Ok(buildCall(options, headers.requestId, route, holder.value));
}

/** The customer of the request's key; undefined where the route needs none. */
function findHolder(
  routes: RouteTable,
  route: Route,
  options: AdmissionOptions,
): Result<KeyHolder | undefined, Failure> {
  if (route.isAnonymous || !routes.needsKeys) return Ok(undefined);
  const { key } = options.headers;
  if (!options.mayHonourKeys) {
    return Err(Failure.create("belief_too_old", "keys are not honoured now"));
  }
  const holder = key === undefined ? undefined : routes.getHolder(key);
  if (holder) return Ok(holder);
  return Err(
    Failure.create("unknown_key", key === undefined ? "no key" : "unknown"),
  );
}

function buildCall(
  options: AdmissionOptions,
  requestId: string,
  route: Route,
  holder: KeyHolder | undefined,
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
    customer: holder?.name,
    urgency: rankUrgency(route, holder),
    sharedParts: sharedParts.map(({ id, tokens }) => ({
      name: PrefixIndex.nameOf(id),
      tokens,
    })),
    receivedAt,
    callerEndsAt: remainingMs === undefined
      ? Infinity
      : receivedAt + remainingMs,
  };
}

/** The prompt's parts that other requests share: all but the last, or the only one. */
function findSharedParts(headers: CallerHeaders): readonly PromptPart[] {
  const parts = headers.prompt?.parts ?? [];
  return parts.length > 1 ? parts.slice(0, -1) : parts;
}

function rankUrgency(route: Route, holder: KeyHolder | undefined): number {
  const ofCustomer = (holder?.priority ?? 0) * CLASSES_PER_CUSTOMER_PRIORITY;
  return Math.max(0, Math.min(LEAST_URGENT, ofCustomer + route.priority));
}
