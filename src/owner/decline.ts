import type { FrameOf } from "../peer/frame_schema.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

/** The reason for declining an offer, as sent to the entry router. */
export type Decline = Omit<FrameOf<"declined">, "type" | "exchange">;

/** The request's deadline has passed or its caller has gone. */
export const DEADLINE_PASSED: Decline = { reason: "deadline", owner: "" };

/** Returns why a queued request must be declined, or undefined if it may stay queued. A request that was offered to
 * this router as the owner follows the ownership, even to a router that the entry router avoids: this router has heard
 * from that one since.
 * @param upstream The upstream that the request is queued for.
 * @param job The queued request.
 * @param registry Resolves the current owner of the upstream.
 * @param now Monotonic time in milliseconds. */
export function findDecline(
  upstream: OwnedUpstream,
  { deadlineAt, offer, wasOwnedWhenOffered }: Job,
  registry: UpstreamRegistry,
  now: number,
): Decline | undefined {
  if (now >= deadlineAt) return DEADLINE_PASSED;
  const avoids = wasOwnedWhenOffered ? [] : offer.avoids;
  const owner = registry.findOtherOwner(upstream, avoids);
  if (owner) return { reason: "moved", owner };
  return upstream.takesWork ? undefined : describeDecline(upstream);
}

/** Returns why an upstream accepts no new work: it is gone, or it is in a backoff that it asked for.
 * @param upstream The upstream, or undefined if it is not listed. */
export function describeDecline(upstream: OwnedUpstream | undefined): Decline {
  const { backoffMs = 0, isServing = false } = upstream ?? {};
  return isServing && backoffMs > 0
    ? { reason: "full", owner: "", backoffMs }
    : { reason: "gone", owner: "" };
}
