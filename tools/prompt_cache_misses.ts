import type { LogLine } from "./log_line.ts";

/** Time since the last use of a prompt part within which a miss counts, in seconds; the requirements
 * price misses within the same window. */
const REUSE_WINDOW_SECONDS = 10;
/** Time for which an engine is assumed to keep a prompt part, in seconds; gateways assume the same. */
const CACHE_RETENTION_SECONDS = 30;
/** Time after a broken connection for which a gateway may exclude an engine, in seconds. */
const CONNECTION_FAILURE_WINDOW_SECONDS = 3;

/** How an engine got the shared prompt parts that its gateway did not take to be in the engine's cache. */
export type CacheMissOutcome =
  /** The request named an engine to fetch them from, and that engine had them. */
  | "moved"
  /** The request named an engine to fetch them from that never had them. */
  | "fetched from wrong engine"
  /** The request named no engine to fetch them from. */
  | "recomputed"
  /** The engine had them, but the host did not know. */
  | "cached, unknown to host";

/** State of an engine that had the prompt parts when the request was sent to another engine. */
export type HolderState = "healthy" | "leaving" | "gone" | "ejected" | "broken";

/** Number of requests and missing tokens with the same outcome and holder states. */
export interface PromptCacheMiss {
  outcome: CacheMissOutcome;
  /** Distinct states of the engines that had the prompt parts, in alphabetical order. */
  holders: string;
  requests: number;
  tokens: number;
}

/** Counts from gateways' log lines why engines did not have the prompts of their requests in their cache. */
export class PromptCacheMisses {
  private readonly engineByAddress = new Map<string, string>();
  private readonly stateByEngine = new Map<string, string>();
  /** Time in seconds until which a host excludes an engine, by host and engine. */
  private readonly ejectedUntilByKey = new Map<string, number>();
  private readonly failedAtByKey = new Map<string, number>();
  /** Time in seconds at which each engine was last sent a prompt part, by part and engine. */
  private readonly holdersByPart = new Map<string, Map<string, number>>();
  private readonly lastUseByPart = new Map<string, number>();
  private readonly misses = new Map<string, PromptCacheMiss>();

  private constructor() {}

  /** Creates an instance without counts. */
  static create(): PromptCacheMisses {
    return new PromptCacheMisses();
  }

  /** Returns the misses, those with the most tokens first. */
  getMisses(): PromptCacheMiss[] {
    return [...this.misses.values()].toSorted((a, b) => b.tokens - a.tokens);
  }

  /** Processes the next log line; lines must be in chronological order.
   * @param line The log line. */
  processLine(line: LogLine): void {
    this.handlers[line.event]?.(line);
  }

  private readonly handlers: Readonly<
    Record<string, (line: LogLine) => void>
  > = {
    upstream_published: ({ fields }) => {
      this.engineByAddress.set(fields["address"]!, fields["upstream"]!);
      this.stateByEngine.set(fields["upstream"]!, fields["state"]!);
    },
    upstream_ejected: ({ host, at, fields }) => {
      const until = at + Number(fields["ejectedMs"]) / 1_000;
      this.ejectedUntilByKey.set(`${host} ${fields["upstream"]}`, until);
    },
    attempt_failed: ({ host, at, fields }) => {
      if (fields["detail"]?.startsWith("silent")) return;
      this.failedAtByKey.set(`${host} ${fields["upstream"]}`, at);
    },
    request_sent: (line) => {
      if (line.fields["part"] !== undefined) this.processRequestSent(line);
    },
  };

  private processRequestSent(line: LogLine): void {
    const { at, fields } = line;
    const part = fields["part"]!;
    const target = fields["upstream"]!;
    const partHolders = this.holdersByPart.get(part) ??
      new Map<string, number>();
    const missingTokens = Number(fields["sharedTokens"]) -
      Number(fields["keptTokens"]);
    const isWithinReuseWindow =
      at - (this.lastUseByPart.get(part) ?? -Infinity) <
        REUSE_WINDOW_SECONDS;
    if (missingTokens > 0 && isWithinReuseWindow) {
      const outcome = this.classifyMiss(
        partHolders,
        target,
        fields["fetchFrom"],
      );
      this.recordMiss(
        outcome,
        this.describeHolders(partHolders, line),
        missingTokens,
      );
    }
    partHolders.set(target, at);
    this.holdersByPart.set(part, partHolders);
    this.lastUseByPart.set(part, at);
  }

  private classifyMiss(
    partHolders: ReadonlyMap<string, number>,
    target: string,
    sourceAddress: string | undefined,
  ): CacheMissOutcome {
    if (partHolders.has(target)) return "cached, unknown to host";
    const source = this.engineByAddress.get(sourceAddress ?? "");
    if (source === undefined) return "recomputed";
    return partHolders.has(source) ? "moved" : "fetched from wrong engine";
  }

  private describeHolders(
    partHolders: ReadonlyMap<string, number>,
    line: LogLine,
  ): string {
    const states = [...partHolders].filter(([, usedAt]) =>
      line.at - usedAt < CACHE_RETENTION_SECONDS
    ).map(([engine]) => this.getHolderState(engine, line));
    return [...new Set(states)].toSorted().join(", ");
  }

  private getHolderState(engine: string, { host, at }: LogLine): HolderState {
    const state = this.stateByEngine.get(engine);
    if (state === "gone" || state === "leaving") return state;
    const key = `${host} ${engine}`;
    if (at < (this.ejectedUntilByKey.get(key) ?? -Infinity)) return "ejected";
    const secondsSinceFailure = at - (this.failedAtByKey.get(key) ?? -Infinity);
    return secondsSinceFailure < CONNECTION_FAILURE_WINDOW_SECONDS
      ? "broken"
      : "healthy";
  }

  private recordMiss(
    outcome: CacheMissOutcome,
    holders: string,
    tokens: number,
  ): void {
    const key = `${outcome}: ${holders}`;
    const miss = this.misses.get(key) ??
      { outcome, holders, requests: 0, tokens: 0 };
    miss.requests += 1;
    miss.tokens += tokens;
    this.misses.set(key, miss);
  }
}
