import { Failure } from "../errors/failure.ts";
import { createChatKey } from "./chat_handler.ts";
import type { EntryContext, HttpExchange } from "./entry_context.ts";
import { sendJson } from "./send_json.ts";

const DEFAULT_AUDIT_LIMIT = 100;

/** Responds with the router's phase; the status is 200 only while the router is serving, 503 otherwise.
 * @param context Dependencies of the handler.
 * @param exchange The request and its response. */
export function handleHealth(
  context: EntryContext,
  exchange: HttpExchange,
): void {
  const phase = context.getPhase();
  sendJson(exchange.response, phase === "serving" ? 200 : 503, { phase });
}

/** Responds with the router's status.
 * @param context Dependencies of the handler.
 * @param exchange The request and its response. */
export function handleStatus(
  context: EntryContext,
  exchange: HttpExchange,
): void {
  sendJson(exchange.response, 200, context.describe());
}

/** Responds with the most recent audit records, optionally filtered by the start of their subject.
 * @param context Dependencies of the handler.
 * @param exchange The request, whose query may contain `limit` and `what`, and its response. */
export function handleAudit(
  context: EntryContext,
  exchange: HttpExchange,
): void {
  const limit = Number(
    exchange.url.searchParams.get("limit") ?? DEFAULT_AUDIT_LIMIT,
  );
  const what = exchange.url.searchParams.get("what") ?? "";
  sendJson(exchange.response, 200, {
    records: context.audit.getRecent(limit, what),
  });
}

/** Responds with the routing decision for a chat: its placement key, the policy and the candidates in order.
 * @param context Dependencies of the handler.
 * @param exchange The request, whose query contains `customer`, `model` and `chat`, and its response. */
export function handleExplain(
  context: EntryContext,
  exchange: HttpExchange,
): void {
  const query = exchange.url.searchParams;
  const customerId = query.get("customer") ?? "";
  const customer = context.configuration.customers.getCustomer(customerId);
  if (!customer) {
    throw Failure.create("unknown_customer", `query.customer: ${customerId}`);
  }
  const model = query.get("model") ?? customer.models[0] ?? "";
  const placementKey = createChatKey(customer, {
    chat_id: query.get("chat") ?? "",
    messages: [],
  });
  const order = context.dispatcher.orderUpstreams({
    requirement: { role: "engine", model },
    placementKey,
  });
  const candidates = order.map((id) => {
    const host = context.getView().getUpstream(id);
    return {
      engine: id,
      hall: host?.hall,
      owners: host ? context.getPlacement().getOwners(host).slice(0, 3) : [],
    };
  });
  sendJson(exchange.response, 200, {
    customer,
    placementKey,
    policy: context.settings.routing.policy,
    candidates,
  });
}
