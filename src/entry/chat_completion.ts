import { DONE_LINE, engineEventSchema } from "../upstream/engine_event.ts";
import type { StoredResponse } from "./outcome_store.ts";

const DATA_PREFIX = "data: ";

/** Converts a complete event stream to a chat completion, for callers that did not request a stream.
 * @param requestId Id of the request.
 * @param model Model of the request.
 * @param stream The complete event stream. */
export function toChatCompletion(
  requestId: string,
  model: string,
  stream: Buffer,
): StoredResponse {
  let content = "";
  let usage: unknown;
  for (const line of stream.toString().split("\n\n")) {
    if (!line.startsWith(DATA_PREFIX) || line === DONE_LINE) continue;
    const event = engineEventSchema.parse(
      JSON.parse(line.slice(DATA_PREFIX.length)),
    );
    content += event.choices?.[0]?.delta.content ?? "";
    usage = event.usage ?? usage;
  }
  const message = { role: "assistant", content };
  const completion = {
    id: requestId,
    object: "chat.completion",
    model,
    choices: [{ index: 0, message, finish_reason: "stop" }],
    usage,
  };
  const headers = { "content-type": "application/json" };
  return {
    status: 200,
    headers,
    body: Buffer.from(JSON.stringify(completion)),
  };
}
