import { Failure } from "../errors/failure.ts";
import { nameChat } from "./chat_handler.ts";
import type { EntryContext, Exchange } from "./entry_context.ts";
import { sendJson } from "./send_json.ts";

const DEFAULT_AUDIT_LIMIT = 100;

/** Says whether the router takes requests; 200 only while it serves.
 * @param context What the handler works with.
 * @param exchange The request. */
export function handleHealth(context: EntryContext, exchange: Exchange): void {
  const phase = context.getPhase();
  sendJson(exchange.response, phase === "serving" ? 200 : 503, { phase });
}

/** Shows everything operators see of the router.
 * @param context What the handler works with.
 * @param exchange The request. */
export function handleStatus(context: EntryContext, exchange: Exchange): void {
  sendJson(exchange.response, 200, context.describe());
}

/** Shows the recent changes, those of one subject where the query names it.
 * @param context What the handler works with.
 * @param exchange The request. */
export function handleAudit(context: EntryContext, exchange: Exchange): void {
  const limit = Number(
    exchange.url.searchParams.get("limit") ?? DEFAULT_AUDIT_LIMIT,
  );
  const what = exchange.url.searchParams.get("what") ?? "";
  sendJson(exchange.response, 200, {
    records: context.audit.getRecent(limit, what),
  });
}

/** Shows where a chat would go and why.
 * @param context What the handler works with.
 * @param exchange The request; its query names `customer`, `model` and `chat`. */
export function handleExplain(context: EntryContext, exchange: Exchange): void {
  const query = exchange.url.searchParams;
  const customerId = query.get("customer") ?? "";
  const customer = context.configuration.customers.getCustomer(customerId);
  if (!customer) {
    throw Failure.create("unknown_customer", `query.customer: ${customerId}`);
  }
  const model = query.get("model") ?? customer.models[0] ?? "";
  const placementKey = nameChat(customer, {
    chat_id: query.get("chat") ?? "",
    messages: [],
  });
  const order = context.dispatcher.order({
    need: { role: "engine", model },
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
