import type { LogLine } from "./log_line.ts";

/** Time since its last use within which a part that is read again counts, in seconds, as the brief's prices have it. */
const COUNTED_FOR_SECONDS = 10;
/** Time for which an engine is taken to keep a part, in seconds, as the gateways take it. */
const KEPT_FOR_SECONDS = 30;
/** Time after a broken connection for which a gateway may leave an engine out, in seconds. */
const BROKEN_FOR_SECONDS = 3;

/** What became of the shared parts that the chosen engine lacked. */
export type PromptFate =
  /** Another engine that had them was named to fetch from. */
  | "moved"
  /** An engine that never had them was named. */
  | "fetched in vain"
  /** No engine was named. */
  | "read"
  /** The engine had them, and the host did not know. */
  | "kept, not known";

/** How the engines that had the parts were when the request went elsewhere. */
export type HolderState = "sound" | "leaving" | "gone" | "ejected" | "broken";

/** Tokens and requests of one fate and state of the holders. */
export interface PromptLoss {
  fate: PromptFate;
  /** States of the holders, each once, in order of name. */
  holders: string;
  requests: number;
  tokens: number;
}

/** Follows gateways' log lines, and counts why engines lacked prompts that they were sent. */
export class PromptLosses {
  private readonly engineByAddress = new Map<string, string>();
  private readonly engineState = new Map<string, string>();
  /** By host and engine, the second up to which the host leaves the engine out. */
  private readonly ejectedUntil = new Map<string, number>();
  private readonly brokenAt = new Map<string, number>();
  /** By part, the engines that were sent it and when. */
  private readonly holders = new Map<string, Map<string, number>>();
  private readonly lastUse = new Map<string, number>();
  private readonly losses = new Map<string, PromptLoss>();

  private constructor() {}

  /** Creates a count of nothing. */
  static create(): PromptLosses {
    return new PromptLosses();
  }

  /** The losses, the greatest first. */
  getLosses(): PromptLoss[] {
    return [...this.losses.values()].toSorted((a, b) => b.tokens - a.tokens);
  }

  /** Takes the next line; lines must come in the order of their time.
   * @param line The line. */
  take(line: LogLine): void {
    this.handlers[line.event]?.(line);
  }

  private readonly handlers: Readonly<
    Record<string, (line: LogLine) => void>
  > = {
    upstream_published: ({ fields }) => {
      this.engineByAddress.set(fields["address"]!, fields["upstream"]!);
      this.engineState.set(fields["upstream"]!, fields["state"]!);
    },
    upstream_ejected: ({ host, at, fields }) => {
      const until = at + Number(fields["ejectedMs"]) / 1_000;
      this.ejectedUntil.set(`${host} ${fields["upstream"]}`, until);
    },
    attempt_failed: ({ host, at, fields }) => {
      if (fields["detail"]?.startsWith("silent")) return;
      this.brokenAt.set(`${host} ${fields["upstream"]}`, at);
    },
    request_sent: (line) => {
      if (line.fields["part"] !== undefined) this.takeSend(line);
    },
  };

  private takeSend(line: LogLine): void {
    const { at, fields } = line;
    const part = fields["part"]!;
    const target = fields["upstream"]!;
    const had = this.holders.get(part) ?? new Map<string, number>();
    const lacked = Number(fields["sharedTokens"]) -
      Number(fields["keptTokens"]);
    const isCounted = at - (this.lastUse.get(part) ?? -Infinity) <
      COUNTED_FOR_SECONDS;
    if (lacked > 0 && isCounted) {
      const fate = this.findFate(had, target, fields["fetchFrom"]);
      this.count(fate, this.describeHolders(had, line), lacked);
    }
    had.set(target, at);
    this.holders.set(part, had);
    this.lastUse.set(part, at);
  }

  private findFate(
    had: ReadonlyMap<string, number>,
    target: string,
    sourceAddress: string | undefined,
  ): PromptFate {
    if (had.has(target)) return "kept, not known";
    const source = this.engineByAddress.get(sourceAddress ?? "");
    if (source === undefined) return "read";
    return had.has(source) ? "moved" : "fetched in vain";
  }

  private describeHolders(
    had: ReadonlyMap<string, number>,
    line: LogLine,
  ): string {
    const states = [...had].filter(([, usedAt]) =>
      line.at - usedAt < KEPT_FOR_SECONDS
    ).map(([engine]) => this.getHolderState(engine, line));
    return [...new Set(states)].toSorted().join(", ");
  }

  private getHolderState(engine: string, { host, at }: LogLine): HolderState {
    const state = this.engineState.get(engine);
    if (state === "gone" || state === "leaving") return state;
    const key = `${host} ${engine}`;
    if (at < (this.ejectedUntil.get(key) ?? -Infinity)) return "ejected";
    const sinceBroken = at - (this.brokenAt.get(key) ?? -Infinity);
    return sinceBroken < BROKEN_FOR_SECONDS ? "broken" : "sound";
  }

  private count(fate: PromptFate, holders: string, tokens: number): void {
    const key = `${fate}: ${holders}`;
    const loss = this.losses.get(key) ??
      { fate, holders, requests: 0, tokens: 0 };
    loss.requests += 1;
    loss.tokens += tokens;
    this.losses.set(key, loss);
  }
}
