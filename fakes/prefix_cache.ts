/** Prefix cache of a fake engine, with a limited number of tokens and least-recently-used eviction. */
export class PrefixCache {
  private readonly tokensByChat = new Map<string, number>();
  private used = 0;

  private constructor(private readonly capacity: number) {}

  /** Creates an empty cache.
   * @param capacity Capacity in tokens. */
  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Number of cached tokens of a chat.
   * @param chat Id of the chat. */
  getTokens(chat: string): number {
    return this.tokensByChat.get(chat) ?? 0;
  }

  /** Caches the context of a chat and evicts others if the capacity is exceeded.
   * @param chat Id of the chat.
   * @param tokens Length of the context in tokens. */
  put(chat: string, tokens: number): void {
    this.used += tokens - this.getTokens(chat);
    this.tokensByChat.delete(chat);
    this.tokensByChat.set(chat, tokens);
    for (const [oldest, size] of this.tokensByChat) {
      if (this.used <= this.capacity || oldest === chat) break;
      this.tokensByChat.delete(oldest);
      this.used -= size;
    }
  }

  /** Cached chats with their numbers of tokens, the least recently used first. */
  getEntries(): [string, number][] {
    return [...this.tokensByChat];
  }
}
