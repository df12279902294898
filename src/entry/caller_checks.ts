import { readClock } from "../clock/clock.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Customer } from "../configuration/customer.ts";
import { Failure } from "../errors/failure.ts";
import type { EntryContext } from "./entry_context.ts";

const MAX_KEY_LENGTH = 256;

/** Returns the customer a request names, or throws.
 * @param context What the handler works with.
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

/** Returns the monotonic time at which the caller no longer waits.
 * @param context What the handler works with.
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

/** Returns the idempotency key of a request, or nothing.
 * @param request The request. */
export function getKey(request: IncomingMessage): string | undefined {
  const key = request.headers["idempotency-key"];
  if (key === undefined) return undefined;
  if (typeof key !== "string" || key === "" || key.length > MAX_KEY_LENGTH) {
    throw Failure.create(
      "malformed_request",
      `header idempotency-key: must be 1 to ${MAX_KEY_LENGTH} characters`,
    );
  }
  return key;
}

/** Whether a request may run more than once: by its header, else by whether its method is safe or it is a chat.
 * A request with an idempotency key never may.
 * @param request The request.
 * @param byDefault What holds where the header says nothing. */
export function isRepeatable(
  request: IncomingMessage,
  byDefault: boolean,
): boolean {
  if (request.headers["idempotency-key"] !== undefined) return false;
  const text = request.headers["x-beechkeel-repeatable"];
  if (text === undefined) return byDefault;
  if (text !== "yes" && text !== "no") {
    throw Failure.create(
      "malformed_request",
      "header x-beechkeel-repeatable: must be yes or no",
    );
  }
  return text === "yes";
}

/** Throws unless the router serves requests.
 * @param context What the handler works with. */
export function checkServing(context: EntryContext): void {
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

/** Returns a signal that is aborted when the caller is gone.
 * @param response The caller's response. */
export function signalWhenGone(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
