/** Sizes of the prompts that callers send. */
export type PromptSize = "short" | "usual" | "long";

/** Prompt tokens by size. */
const TOKENS: Readonly<Record<PromptSize, number>> = {
  short: 200,
  usual: 900,
  long: 6_000,
};
/** Tokens of the part that all usual and long prompts share. */
const COMMON_TOKENS = 600;
/** Tokens of the part that the prompts of one chat share. */
const CHAT_TOKENS = 250;

/** Formats the values of the prompt headers, separated by `|`.
 * @param size Size of the prompt.
 * @param chat Number of the chat that it belongs to.
 * @param requestId Id of the request. */
export function formatPrompt(
  size: PromptSize,
  chat: number,
  requestId: string,
): string {
  const tokens = TOKENS[size];
  const partsBySize: Readonly<Record<PromptSize, string>> = {
    short: `${chat}s:${tokens}`,
    usual: `c0ffee:${COMMON_TOKENS},${chat}a:${CHAT_TOKENS}`,
    long: `c0ffee:${COMMON_TOKENS},${chat}a:${CHAT_TOKENS},${requestId}:${
      tokens - COMMON_TOKENS - CHAT_TOKENS
    }`,
  };
  return `m|${tokens},50|${partsBySize[size]}`;
}

/** Returns the number of tokens of a prompt; 0 if a request has none.
 * @param prompt Values of the prompt headers, separated by `|`. */
export function getPromptTokens(prompt: string): number {
  return Number(/^[^|]*\|(\d+)/.exec(prompt)?.[1] ?? 0);
}

/** Returns the size of a prompt, or undefined if a request has none.
 * @param prompt Values of the prompt headers, separated by `|`. */
export function getPromptSize(prompt: string): PromptSize | undefined {
  const tokens = getPromptTokens(prompt);
  if (tokens === 0) return undefined;
  if (tokens <= TOKENS.short) return "short";
  return tokens <= TOKENS.usual ? "usual" : "long";
}
