import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { HashedPromptPart, PrefixIndex } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** Finds the engine from which another engine should fetch the prompt parts that it lacks; undefined if it lacks none
 * that another engine of its software version may have cached. The deepest part decides, because an engine that has it cached was also sent the
 * parts before it. If no engine is known to have cached any part, as after a restart, returns the engine that the
 * prompt was most likely sent to: the first in the prompt's rendezvous order or, if that is the target, the first among
 * the engines that arrived before the target.
 * @param parts Shared parts of the prompt, in order.
 * @param target Engine that is to run the request.
 * @param engines Reachable engines of the service, including leaving ones.
 * @param prefixes Index of the cached prompt parts.
 * @param now Monotonic milliseconds. */
export function findFetchSource(
  parts: readonly HashedPromptPart[],
  target: Upstream,
  engines: readonly Upstream[],
  prefixes: PrefixIndex,
  now: number,
): Upstream | undefined {
  const compatible = engines.filter(({ published }) =>
    published.softwareVersion === target.published.softwareVersion
  );
  for (const { name: part } of parts.toReversed()) {
    if (prefixes.isCached(part, target.instanceHash, now)) return undefined;
    const source = compatible.find((engine) =>
      engine !== target && prefixes.isCached(part, engine.instanceHash, now)
    );
    if (source) return source;
  }
  return findLikelySource(parts, target, compatible);
}

function findLikelySource(
  parts: readonly HashedPromptPart[],
  target: Upstream,
  engines: readonly Upstream[],
): Upstream | undefined {
  const first = findFirstRanked(parts, engines);
  if (first !== target) return first;
  const older = engines.filter((engine) =>
    engine.published.arrival < target.published.arrival
  );
  return findFirstRanked(parts, older);
}

function findFirstRanked(
  parts: readonly HashedPromptPart[],
  engines: readonly Upstream[],
): Upstream | undefined {
  const ids = engines.map((engine) => engine.id);
  const [first] = rankByRendezvous(String(parts.at(-1)?.name), ids);
  return engines.find((engine) => engine.id === first);
}
