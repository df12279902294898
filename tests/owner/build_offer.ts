import type { FramePort } from "../../src/peer/frame_port.ts";
import type { Frame, FrameOf } from "../../src/peer/frame_schema.ts";
import { ENGINE_ID } from "./virtual_pool.ts";

/** The entry's end of a connection to a router of the model. */
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

/** Builds the offer of a chat for the engine.
 * @param changes What differs from a first offer. */
export function buildEngineOffer(
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
