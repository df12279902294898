import type { FrameOf } from "../peer/frame_schema.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

/** Why an offer is not taken, as the entry is told. */
export type Decline = Omit<FrameOf<"declined">, "type" | "exchange">;

/** Nobody waits for the request any more. */
export const DEADLINE_PASSED: Decline = { reason: "deadline", owner: "" };

/** Why a request may wait at this router no longer; undefined where it may. Another router may have come to own the
 * upstream: started here too, from what waited, requests were 5 on an engine that may carry 4.
 * @param upstream The upstream.
 * @param job The request.
 * @param registry Knows who owns the upstream.
 * @param now Monotonic milliseconds. */
export function findDecline(
  upstream: OwnedUpstream,
  { deadlineAt, offer }: Job,
  registry: UpstreamRegistry,
  now: number,
): Decline | undefined {
  if (now >= deadlineAt) return DEADLINE_PASSED;
  const owner = registry.findOtherOwner(upstream, offer);
  if (owner) return { reason: "moved", owner };
  return upstream.takesWork ? undefined : describeDecline(upstream);
}

/** Why an upstream takes no work: it is gone, or wants none for a time.
 * @param upstream The upstream; undefined where it is not listed. */
export function describeDecline(upstream: OwnedUpstream | undefined): Decline {
  const { backoffMs = 0, isServing = false } = upstream ?? {};
  return isServing && backoffMs > 0
    ? { reason: "full", owner: "", backoffMs }
    : { reason: "gone", owner: "" };
}
