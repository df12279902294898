import { MAX_TRACKED_PARTS } from "../crashes/interrupted_request.ts";
import { hashText } from "../hashing/hasher.ts";
import type { ChatRequest } from "./chat_request_schema.ts";

/** Hashes the first messages of a chat request that other requests may share; the last belongs to the request itself.
 * @param chat The request. */
export function hashSharedMessages(
  { messages }: Pick<ChatRequest, "messages">,
): number[] {
  return messages.slice(0, -1).slice(0, MAX_TRACKED_PARTS).map((
    { role, content },
  ) => hashText(`${role}\n${content}`));
}
