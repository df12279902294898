import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import type { FramePort } from "./frame_port.ts";
import { type Frame, type FrameOf, frameSchema } from "./frame_schema.ts";

const packr = new Packr({ useRecords: false });

/** Number of bytes queued for sending above which a connection counts as broken and is terminated. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Control traffic sent over all peer connections of this process: all frames except `DATA_FRAMES`. */
export const controlTraffic = { bytes: 0, frames: 0 };

/** Types of the frames that carry requests and responses. */
const DATA_FRAMES: ReadonlySet<Frame["type"]> = new Set([
  "offer",
  "chunk",
  "head",
]);

/** One end of a WebSocket that transports frames as msgpack; a malformed frame terminates the connection. */
export class WebSocketFramePort implements FramePort {
  private receive: (frame: Frame) => void = () => undefined;
  private notifyClosed: () => void = () => undefined;

  private constructor(
    readonly peerId: string,
    private readonly socket: WebSocket,
  ) {
    socket.on("message", (data) => this.decode(data as Buffer));
    socket.on("close", () => this.notifyClosed());
    socket.on("error", () => socket.terminate());
  }

  /** Wraps an open WebSocket.
   * @param peerId Id of the router at the other end.
   * @param socket The WebSocket. */
  static create(peerId: string, socket: WebSocket): WebSocketFramePort {
    return new WebSocketFramePort(peerId, socket);
  }

  get bufferedBytes(): number {
    return this.socket.bufferedAmount;
  }

  send(frame: Frame): void {
    if (this.socket.readyState !== this.socket.OPEN) return;
    const encoded = packr.pack(frame);
    if (!DATA_FRAMES.has(frame.type)) {
      controlTraffic.bytes += encoded.length;
      controlTraffic.frames += 1;
    }
    this.socket.send(encoded, () => undefined);
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) this.close();
  }

  onFrame(receive: (frame: Frame) => void): void {
    this.receive = receive;
  }

  onClose(notifyClosed: () => void): void {
    this.notifyClosed = notifyClosed;
  }

  close(): void {
    this.socket.terminate();
  }

  private decode(data: Buffer): void {
    let frame: Frame;
    try {
      const value: unknown = packr.unpack(data);
      frame = isChunk(value) ? value : frameSchema.parse(value);
    } catch {
      this.close();
      return;
    }
    this.receive(frame);
  }
}

/** Whether a value is a well-formed chunk frame. Validated without the schema, because nearly all frames are chunks. */
function isChunk(value: unknown): value is FrameOf<"chunk"> {
  const chunk = value as Partial<FrameOf<"chunk">> | null;
  return chunk?.type === "chunk" && isNonNegativeInteger(chunk.exchange) &&
    isNonNegativeInteger(chunk.sequence) &&
    isNonNegativeInteger(chunk.events) &&
    chunk.bytes instanceof Uint8Array;
}

function isNonNegativeInteger(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
