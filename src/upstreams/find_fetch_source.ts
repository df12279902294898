import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** The engine from which another should fetch what it lacks of a prompt, or nothing where it lacks nothing that may be
 * kept elsewhere. The deepest part decides, for an engine that keeps it was sent those before it too. Where no engine
 * is known to keep any, it is the first in the prompt's order: another host may have sent it there just now.
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
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  const [first] = rankByRendezvous(String(parts.at(-1)), [...byId.keys()]);
  return first === undefined || first === target.id
    ? undefined
    : byId.get(first);
}
