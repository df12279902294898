/** A cache of chats' contexts with limited memory; the least recently used goes first. */
export class PrefixCache {
  private readonly tokensByChat = new Map<string, number>();
  private used = 0;

  private constructor(private readonly capacity: number) {}

  /** Creates an empty cache.
   * @param capacity Tokens it holds. */
  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Tokens of a chat that are cached.
   * @param chat The chat. */
  getTokens(chat: string): number {
    return this.tokensByChat.get(chat) ?? 0;
  }

  /** Caches a chat's context.
   * @param chat The chat.
   * @param tokens Length of the context. */
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

  /** The cached chats with their tokens, the least recently used first. */
  getEntries(): [string, number][] {
    return [...this.tokensByChat];
  }
}
