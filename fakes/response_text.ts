import { hashText } from "../src/hashing/hasher.ts";

/** Text of one chunk of a response. It depends only on the prompt and the index, so a response can be compared byte by
 * byte whichever engines produced it.
 * @param prompt Last message of the request.
 * @param index Position of the chunk in the response. */
export function getChunk(prompt: string, index: number): string {
  return `${hashText(prompt, index).toString(36)} `;
}

/** Full text of a response.
 * @param prompt Last message of the request.
 * @param count Number of chunks in the response. */
export function getFullText(prompt: string, count: number): string {
  return Array.from({ length: count }, (_, index) => getChunk(prompt, index))
    .join("");
}

/** Number of tokens in a text, as the fakes count them: one per four characters, rounded up.
 * @param text The text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / 4);
}
