import { hashText } from "../hashing/hasher.ts";
import type { ChatRequest } from "./chat_request_schema.ts";

/** Hashes the messages of a chat request that other requests may share: all but the last.
 * @param chat The request. */
export function hashSharedMessages(
  { messages }: Pick<ChatRequest, "messages">,
): number[] {
  return messages.slice(0, -1).map(({ role, content }) =>
    hashText(`${role}\n${content}`)
  );
}
