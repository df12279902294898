import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { PrefixIndex, SentPart } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** The engine from which another should fetch what it lacks of a prompt, or nothing where it lacks nothing that may be
 * kept elsewhere. The deepest part decides, for an engine that keeps it was sent those before it too. Where no engine
 * is known to keep any, as after a restart, it is the one that the prompt was most likely sent to first: the first in
 * its order, or where that is the target, the first of those that came before the target.
 * @param parts The prompt's shared parts, in order.
 * @param target The engine that is to run the request.
 * @param engines Engines of the service that can be reached, leaving ones too.
 * @param prefixes Which engines keep which parts.
 * @param now Monotonic milliseconds. */
export function findFetchSource(
  parts: readonly SentPart[],
  target: Upstream,
  engines: readonly Upstream[],
  prefixes: PrefixIndex,
  now: number,
): Upstream | undefined {
  for (const { name: part } of parts.toReversed()) {
    if (prefixes.isKept(part, target.shortName, now)) return undefined;
    const source = engines.find((engine) =>
      engine !== target && prefixes.isKept(part, engine.shortName, now)
    );
    if (source) return source;
  }
  return findLikelySource(parts, target, engines);
}

function findLikelySource(
  parts: readonly SentPart[],
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
  parts: readonly SentPart[],
  engines: readonly Upstream[],
): Upstream | undefined {
  const ids = engines.map((engine) => engine.id);
  const [first] = rankByRendezvous(String(parts.at(-1)?.name), ids);
  return engines.find((engine) => engine.id === first);
}
