import type { PrefixIndex } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** The engine from which another should fetch what it lacks of a prompt, or nothing where it lacks nothing that is
 * kept elsewhere. The deepest part decides, for an engine that keeps it was sent those before it too.
 * @param parts Short names of the prompt's shared parts, in order.
 * @param target The engine that is to run the request.
 * @param engines Engines of the service that can be reached, leaving ones too.
 * @param prefixes Which engines keep which parts.
 * @param now Monotonic milliseconds. */
export function findFetchSource(
  parts: readonly number[],
  target: Upstream,
  engines: readonly Upstream[],
  prefixes: PrefixIndex,
  now: number,
): Upstream | undefined {
  for (const part of parts.toReversed()) {
    if (prefixes.isKept(part, target.key, now)) return undefined;
    const source = engines.find((engine) =>
      engine !== target && prefixes.isKept(part, engine.key, now)
    );
    if (source) return source;
  }
  return undefined;
}
