import type { Upstream } from "./upstream.ts";

/** Whether an entry without a start time comes from another writer and is no upstream, because at least as many entries
 * have one as have none.
 * @param upstreams All listed upstreams. */
export function requiresStartTime(upstreams: Iterable<Upstream>): boolean {
  let withStart = 0;
  let withoutStart = 0;
  for (const { published: { startedAt } } of upstreams) {
    if (startedAt === undefined) withoutStart += 1;
    else withStart += 1;
  }
  return withStart > 0 && withStart >= withoutStart;
}
