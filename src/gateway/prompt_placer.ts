import type { PromptPlacement } from "../forward/call_log.ts";
import type { RoutedCall } from "../forward/routed_call.ts";
import { findFetchSource } from "../upstreams/find_fetch_source.ts";
import type {
  HashedPromptPart,
  PrefixIndex,
} from "../upstreams/prefix_index.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** Dependencies and callbacks of a {@link PromptPlacer}. */
export interface PromptPlacerOptions {
  prefixes: PrefixIndex;
  /** Returns the engines of a service from which others can fetch cached parts; none if its engines can't fetch.
   * @param service Name of the service.
   * @param now Monotonic milliseconds. */
  getFetchSources: (service: string, now: number) => readonly Upstream[];
  /** Whether other hosts look up cached prompt parts in the directory of a large fleet. */
  usesDirectory: () => boolean;
  /** Whether other hosts are told where a prompt is cached. */
  sharesPlacement: (sharedParts: readonly HashedPromptPart[]) => boolean;
  /** Called when there are prefix updates to send to other hosts. */
  onPrefixUpdates: () => void;
  /** Returns monotonic milliseconds. */
  readNow: () => number;
}

/** Decides what the engine of a request fetches of its prompt, and records which engine was sent the prompt. */
export class PromptPlacer {
  private constructor(private readonly options: PromptPlacerOptions) {}

  /** Creates a placer.
   * @param options Its dependencies and callbacks. */
  static create(options: PromptPlacerOptions): PromptPlacer {
    return new PromptPlacer(options);
  }

  /** Returns what an engine has cached of a call's prompt and where it should fetch the rest from, or undefined if the
   * call has no shared prompt. Records that the prompt is sent to the engine.
   * @param call The call.
   * @param target The engine that will run it. */
  place(call: RoutedCall, target: Upstream): PromptPlacement | undefined {
    const { sharedParts, service } = call;
    const deepest = sharedParts.at(-1);
    if (!deepest) return undefined;
    const { prefixes, getFetchSources, readNow } = this.options;
    const now = readNow();
    const cachedParts = sharedParts.filter(({ name }) =>
      prefixes.isCached(name, target.instanceHash, now)
    );
    const sources = getFetchSources(service, now);
    const source = sources.length > 0
      ? findFetchSource(sharedParts, target, sources, prefixes, now)
      : undefined;
    this.recordSent(sharedParts, target, source !== undefined, now);
    return {
      part: deepest.name,
      sharedTokens: sumTokens(sharedParts),
      keptTokens: sumTokens(cachedParts),
      fetchFrom: source?.published.address,
    };
  }

  private recordSent(
    parts: readonly HashedPromptPart[],
    target: Upstream,
    isFetched: boolean,
    now: number,
  ): void {
    const { prefixes, onPrefixUpdates } = this.options;
    const announced = this.selectAnnounced(parts);
    const { instanceHash } = target;
    prefixes.recordSent(parts, instanceHash, isFetched, now, announced);
    if (prefixes.hasPendingUpdates) onPrefixUpdates();
  }

  /** Selects the parts of which other hosts are told. The directory of a large fleet is asked only for the deepest shared
   * part of a prompt. */
  private selectAnnounced(
    parts: readonly HashedPromptPart[],
  ): readonly HashedPromptPart[] {
    const { usesDirectory, sharesPlacement } = this.options;
    if (!sharesPlacement(parts)) return [];
    return usesDirectory() ? parts.slice(-1) : parts;
  }
}

function sumTokens(parts: readonly HashedPromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
