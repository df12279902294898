import { readClock } from "../clock/clock.ts";
import { v4 as createUuid } from "uuid";
import { Failure } from "../errors/failure.ts";
import { hashText } from "../hashing/hasher.ts";
import { formatIssues } from "../settings/format_issues.ts";
import {
  assertServing,
  getCustomerOrThrow,
  getDeadline,
  getIdempotencyKey,
  isRepeatable,
} from "./caller_checks.ts";
import { toChatCompletion } from "./chat_completion.ts";
import { type ChatRequest, chatRequestSchema } from "./chat_request_schema.ts";
import type { EntryContext, HttpExchange } from "./entry_context.ts";
import { hashSharedMessages } from "./hash_shared_messages.ts";
import { readRequestBody } from "./read_request_body.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { runBuffered, runStreaming } from "./run_request.ts";
import type { Customer } from "../configuration/customer.ts";

/** Handles a chat completion request.
 * @param context Dependencies of the handler.
 * @param exchange The request and its response. */
export async function handleChat(
  context: EntryContext,
  exchange: HttpExchange,
): Promise<void> {
  const { request, response } = exchange;
  assertServing(context);
  const customer = getCustomerOrThrow(context, request);
  const arrived = { requestId: createUuid(), receivedAt: readClock() };
  const body = await readRequestBody(context, exchange, arrived);
  const chat = parseChatRequest(body);
  const key = getIdempotencyKey(request);
  const routed: RoutedRequest = {
    ...arrived,
    work: "chat",
    requirement: { role: "engine", model: getModelOrThrow(customer, chat) },
    placementKey: createChatKey(customer, chat),
    customer,
    promptParts: hashSharedMessages(chat),
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      "content-type": "application/json",
      "x-chat": createChatKey(customer, chat),
    },
    body,
    repeatable: isRepeatable(request, true),
    isStreamed: chat.stream && key === undefined,
    key,
    deadlineAt: getDeadline(context, request),
    lengthHint: chat.max_tokens,
  };
  if (routed.isStreamed) {
    return await runStreaming(context, routed, response);
  }
  await runBuffered(
    context,
    routed,
    response,
    (upstreamResponse) =>
      chat.stream
        ? {
          ...upstreamResponse,
          headers: { "content-type": "text/event-stream" },
        }
        : toChatCompletion(routed.requestId, chat.model, upstreamResponse.body),
  );
}

/** Creates the placement key of a chat, which all requests of the chat share.
 * A chat without an id is identified by the hash of its first two messages.
 * @param customer The customer.
 * @param chat The request. */
export function createChatKey(
  customer: Customer,
  chat: Pick<ChatRequest, "chat_id" | "messages">,
): string {
  const id = chat.chat_id ??
    `begins-${
      hashText(
        chat.messages.slice(0, 2).map((message) => message.content).join("\n"),
      )
    }`;
  return `${customer.id}/${id}`;
}

/** Returns the requested model, followed by `+` and the adapter if the request names one.
 * Throws if the customer is not entitled to them.
 * @param customer The customer.
 * @param chat The request. */
export function getModelOrThrow(
  customer: Customer,
  chat: Pick<ChatRequest, "model" | "adapter">,
): string {
  if (!customer.models.includes(chat.model)) {
    throw Failure.create("unknown_model", `body.model: ${chat.model}`);
  }
  if (chat.adapter === undefined) return chat.model;
  if (!customer.adapters.includes(chat.adapter)) {
    throw Failure.create("unknown_model", `body.adapter: ${chat.adapter}`);
  }
  return `${chat.model}+${chat.adapter}`;
}

function parseChatRequest(body: Buffer): ChatRequest {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    throw Failure.create("malformed_request", "body: not JSON");
  }
  const checked = chatRequestSchema.safeParse(value);
  if (!checked.success) {
    throw Failure.create(
      "malformed_request",
      formatIssues(checked.error, "body").join("; "),
    );
  }
  return checked.data;
}
