import { hashText } from "../src/hashing/hasher.ts";

/** Text of one chunk of an answer. It depends only on the prompt and the index, so an answer can be compared byte by
 * byte whichever engines produced it.
 * @param prompt Last message of the request.
 * @param index Position of the chunk in the answer. */
export function getChunk(prompt: string, index: number): string {
  return `${hashText(prompt, index).toString(36)} `;
}

/** Full text of an answer.
 * @param prompt Last message of the request.
 * @param count Number of chunks in the answer. */
export function getFullText(prompt: string, count: number): string {
  return Array.from({ length: count }, (_, index) => getChunk(prompt, index))
    .join("");
}

/** Number of tokens in a text, as the fakes count them: one per four characters, rounded up.
 * @param text The text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / 4);
}
