import type { Upstream } from "./upstream.ts";

/** Whether an entry without a start time comes from another writer, and is no upstream: not fewer upstreams publish
 * theirs than do not. A single entry decides nothing, and a deployment may begin to publish them.
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
