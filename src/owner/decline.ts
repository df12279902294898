import type { FrameOf } from "../peer/frame_schema.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

/** Why an offer is not taken, as the entry is told. */
export type Decline = Omit<FrameOf<"declined">, "type" | "exchange">;

/** Nobody waits for the request any more. */
export const DEADLINE_PASSED: Decline = { reason: "deadline", owner: "" };

/** Why a request may wait at this router no longer; undefined where it may. What was offered to the owner moves along with
 * the ownership, even to a router that the entry avoids: this one has heard it since.
 * @param upstream The upstream.
 * @param job The request.
 * @param registry Knows who owns the upstream.
 * @param now Monotonic milliseconds. */
export function findDecline(
  upstream: OwnedUpstream,
  { deadlineAt, offer, isForOwner }: Job,
  registry: UpstreamRegistry,
  now: number,
): Decline | undefined {
  if (now >= deadlineAt) return DEADLINE_PASSED;
  const avoids = isForOwner ? [] : offer.avoids;
  const owner = registry.findOtherOwner(upstream, avoids);
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
