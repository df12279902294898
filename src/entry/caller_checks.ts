import { readClock } from "../clock/clock.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Customer } from "../configuration/customer.ts";
import { Failure } from "../errors/failure.ts";
import type { EntryContext } from "./entry_context.ts";

const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

/** Returns the customer that a request names; throws if it is missing or unknown.
 * @param context Dependencies of the handler.
 * @param request The request. */
export function getCustomerOrThrow(
  context: EntryContext,
  request: IncomingMessage,
): Customer {
  const id = String(request.headers["x-beechkeel-customer"] ?? "");
  if (id === "") {
    throw Failure.create(
      "malformed_request",
      "header x-beechkeel-customer: missing",
    );
  }
  const customer = context.configuration.customers.getCustomer(id);
  if (!customer) {
    throw Failure.create(
      "unknown_customer",
      `header x-beechkeel-customer: ${id}`,
    );
  }
  return customer;
}

/** Returns the deadline of a request, as monotonic time in milliseconds.
 * @param context Dependencies of the handler.
 * @param request The request. */
export function getDeadline(
  context: EntryContext,
  request: IncomingMessage,
): number {
  const text = request.headers["x-beechkeel-timeout-ms"];
  const milliseconds = text === undefined
    ? context.settings.routing.defaultDeadlineMs
    : Number(text);
  if (!Number.isFinite(milliseconds) || milliseconds <= 0) {
    throw Failure.create(
      "malformed_request",
      "header x-beechkeel-timeout-ms: must be a positive number",
    );
  }
  return readClock() + milliseconds;
}

/** Returns the idempotency key of a request, or undefined if it has none.
 * @param request The request. */
export function getIdempotencyKey(
  request: IncomingMessage,
): string | undefined {
  const key = request.headers["idempotency-key"];
  if (key === undefined) return undefined;
  if (
    typeof key !== "string" || key === "" ||
    key.length > MAX_IDEMPOTENCY_KEY_LENGTH
  ) {
    throw Failure.create(
      "malformed_request",
      `header idempotency-key: must be 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  return key;
}

/** Whether a request may run more than once. A request with an idempotency key may not; otherwise its header decides.
 * @param request The request.
 * @param defaultValue Result for a request without the header: true for chats and safe methods. */
export function isRepeatable(
  request: IncomingMessage,
  defaultValue: boolean,
): boolean {
  if (request.headers["idempotency-key"] !== undefined) return false;
  const text = request.headers["x-beechkeel-repeatable"];
  if (text === undefined) return defaultValue;
  if (text !== "yes" && text !== "no") {
    throw Failure.create(
      "malformed_request",
      "header x-beechkeel-repeatable: must be yes or no",
    );
  }
  return text === "yes";
}

/** Throws if the router does not serve requests: while it is starting or closing.
 * @param context Dependencies of the handler. */
export function assertServing(context: EntryContext): void {
  const phase = context.getPhase();
  if (phase === "starting") {
    throw Failure.create(
      "starting",
      "no configuration or host list was read yet",
    );
  }
  if (phase === "closing") {
    throw Failure.create("draining", "the router no longer takes requests");
  }
}

/** Creates a signal that is aborted when the caller disconnects before the response is finished.
 * @param response The caller's response. */
export function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
