import { readClock } from "../clock/clock.ts";
import { v4 as createUuid } from "uuid";
import { Failure } from "../errors/failure.ts";
import {
  assertServing,
  getCustomerOrThrow,
  getDeadline,
  getIdempotencyKey,
  isRepeatable,
} from "./caller_checks.ts";
import type { EntryContext, HttpExchange } from "./entry_context.ts";
import { readRequestBody } from "./read_request_body.ts";
import { runBuffered } from "./run_request.ts";

/** Path prefix of calls to services. */
export const SERVICE_PREFIX = "/v1/services/";

const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** Handles a call to a service. A method that is not safe is not repeatable unless the caller allows it.
 * @param context Dependencies of the handler.
 * @param exchange The request and its response. */
export async function handleService(
  context: EntryContext,
  exchange: HttpExchange,
): Promise<void> {
  const { request, response, url } = exchange;
  assertServing(context);
  const customer = getCustomerOrThrow(context, request);
  const [service = "", ...rest] = url.pathname.slice(SERVICE_PREFIX.length)
    .split("/");
  if (!customer.services.includes(service)) {
    throw Failure.create("unknown_service", `path: ${service}`);
  }
  const method = request.method ?? "GET";
  const key = getIdempotencyKey(request);
  const requestId = createUuid();
  const receivedAt = readClock();
  const headers: Record<string, string> = {
    "content-type": request.headers["content-type"] ??
      "application/octet-stream",
  };
  if (key !== undefined) headers["idempotency-key"] = key;
  const routed = {
    requestId,
    receivedAt,
    work: "call" as const,
    requirement: { role: "service" as const, service },
    placementKey: requestId,
    customer,
    promptParts: [],
    method,
    path: `/${rest.join("/")}${url.search}`,
    headers,
    body: await readRequestBody(context, exchange, {
      requestId,
      receivedAt,
    }),
    repeatable: isRepeatable(request, SAFE_METHODS.has(method)),
    isStreamed: false,
    key,
    deadlineAt: getDeadline(context, request),
  };
  await runBuffered(
    context,
    routed,
    response,
    (upstreamResponse) => upstreamResponse,
  );
}
