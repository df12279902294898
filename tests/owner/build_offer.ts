import type { FramePort } from "../../src/peer/frame_port.ts";
import type { Frame, FrameOf } from "../../src/peer/frame_schema.ts";
import { ENGINE_ID } from "./virtual_pool.ts";

/** The entry's end of a connection to a router.
 * @param peerId Router at the other end.
 * @param onFrame Called with each frame that is sent through it. */
export function createPort(
  peerId: string,
  onFrame: (frame: Frame) => void,
): FramePort {
  return {
    peerId,
    bufferedBytes: 0,
    send: onFrame,
    onFrame: () => undefined,
    onClose: () => undefined,
    close: () => undefined,
  };
}

/** Builds an offer.
 * @param changes What differs from the first offer of a chat for the engine of the model. */
export function buildOffer(
  changes: Partial<FrameOf<"offer">>,
): FrameOf<"offer"> {
  return {
    type: "offer",
    exchange: 1,
    requestId: "q",
    upstreamId: ENGINE_ID,
    work: "chat",
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: new Uint8Array(),
    customer: "kilima/rosters",
    partner: "kilima",
    priority: 1,
    capacityShare: 1,
    repeatable: true,
    mayQueue: true,
    avoids: [],
    resumes: false,
    resumeFrom: 0,
    remainingMs: 20_000,
    ...changes,
  };
}
