import { v4 as createUuid } from "uuid";
import { Failure } from "../errors/failure.ts";
import {
  checkServing,
  getCustomerOrThrow,
  getDeadline,
  getKey,
  isRepeatable,
} from "./caller_checks.ts";
import type { EntryContext, Exchange } from "./entry_context.ts";
import { readBody } from "./read_body.ts";
import { runWhole } from "./run_request.ts";

/** Where calls to plain services start. */
export const SERVICE_PREFIX = "/v1/services/";

const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** Answers a call to a plain service; a method that is not safe may not be repeated unless the caller says so.
 * @param context What the handler works with.
 * @param exchange The caller's request. */
export async function handleService(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const { request, response, url } = exchange;
  checkServing(context);
  const customer = getCustomerOrThrow(context, request);
  const [service = "", ...rest] = url.pathname.slice(SERVICE_PREFIX.length)
    .split("/");
  if (!customer.services.includes(service)) {
    throw Failure.create("unknown_service", `path: ${service}`);
  }
  const method = request.method ?? "GET";
  const key = getKey(request);
  const requestId = createUuid();
  const headers: Record<string, string> = {
    "content-type": request.headers["content-type"] ??
      "application/octet-stream",
  };
  if (key !== undefined) headers["idempotency-key"] = key;
  const routed = {
    requestId,
    work: "call" as const,
    need: { role: "service" as const, service },
    placementKey: requestId,
    customer,
    method,
    path: `/${rest.join("/")}${url.search}`,
    headers,
    body: await readBody(request, context.settings.limits.maxBodyBytes),
    repeatable: isRepeatable(request, SAFE_METHODS.has(method)),
    key,
    deadlineAt: getDeadline(context, request),
  };
  await runWhole(context, routed, response, (answer) => answer);
}
