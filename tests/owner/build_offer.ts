import type { FramePort } from "../../src/peer/frame_port.ts";
import type { Frame, FrameOf } from "../../src/peer/frame_schema.ts";
import { ENGINE_ID } from "./virtual_pool.ts";

/** Creates a frame port that passes sent frames to a callback and receives none.
 * @param peerId Id of the router at the other end of the connection.
 * @param onFrame Called with each frame sent through the port. */
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
 * @param changes Fields that differ from the first offer of a chat to the engine of the simulated pool. */
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
