import { v4 as createUuid } from "uuid";
import { Failure } from "../errors/failure.ts";
import { hashText } from "../hashing/hasher.ts";
import { describeIssues } from "../settings/describe_issues.ts";
import {
  checkServing,
  getCustomerOrThrow,
  getDeadline,
  getKey,
  isRepeatable,
} from "./caller_checks.ts";
import { toChatCompletion } from "./chat_completion.ts";
import { type ChatRequest, chatRequestSchema } from "./chat_request_schema.ts";
import type { EntryContext, Exchange } from "./entry_context.ts";
import { readBody } from "./read_body.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { runStreamed, runWhole } from "./run_request.ts";
import type { Customer } from "../configuration/customer.ts";

/** Answers a chat completion request.
 * @param context What the handler works with.
 * @param exchange The caller's request. */
export async function handleChat(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const { request, response } = exchange;
  checkServing(context);
  const customer = getCustomerOrThrow(context, request);
  const body = await readBody(request, context.settings.limits.maxBodyBytes);
  const chat = parseChat(body);
  const routed: RoutedRequest = {
    requestId: createUuid(),
    work: "chat",
    need: { role: "engine", model: getModelOrThrow(customer, chat) },
    placementKey: nameChat(customer, chat),
    customer,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      "content-type": "application/json",
      "x-chat": nameChat(customer, chat),
    },
    body,
    repeatable: isRepeatable(request, true),
    key: getKey(request),
    deadlineAt: getDeadline(context, request),
  };
  if (chat.stream && routed.key === undefined) {
    return await runStreamed(context, routed, response);
  }
  await runWhole(
    context,
    routed,
    response,
    (answer) =>
      chat.stream
        ? { ...answer, headers: { "content-type": "text/event-stream" } }
        : toChatCompletion(routed.requestId, chat.model, answer.body),
  );
}

/** Names a chat so that each return of it has the same key; a chat without an id is known by how it begins.
 * @param customer Whose chat it is.
 * @param chat The request. */
export function nameChat(
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

/** Returns the model, with its adapter, that the request names and the customer has; throws otherwise.
 * @param customer Whose request it is.
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

function parseChat(body: Buffer): ChatRequest {
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
      describeIssues(checked.error, "body").join("; "),
    );
  }
  return checked.data;
}
