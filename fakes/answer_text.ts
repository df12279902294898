import { hashText } from "../src/hashing/hasher.ts";

/** The piece of text that an engine gives at one place of an answer; any engine gives the same, so that an answer
 * can be compared byte by byte whichever engines made it.
 * @param prompt Last message of the request.
 * @param index Place in the answer. */
export function getPiece(prompt: string, index: number): string {
  return `${hashText(prompt, index).toString(36)} `;
}

/** The whole text of an answer.
 * @param prompt Last message of the request.
 * @param count Pieces of the answer. */
export function getWholeText(prompt: string, count: number): string {
  return Array.from({ length: count }, (_, index) => getPiece(prompt, index))
    .join("");
}

/** Tokens of a text, as the stand-ins count them.
 * @param text The text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / 4);
}
