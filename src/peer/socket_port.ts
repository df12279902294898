import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import type { FramePort } from "./frame_port.ts";
import { type Frame, type FrameOf, frameSchema } from "./frame_schema.ts";

const packr = new Packr({ useRecords: false });

/** Bytes waiting to leave above which a connection counts as broken. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Counts what was sent over all connections of this process, apart from requests and answers. */
export const controlTraffic = { bytes: 0, frames: 0 };

const DATA_FRAMES: ReadonlySet<Frame["type"]> = new Set([
  "offer",
  "chunk",
  "head",
]);

/** An end of a WebSocket that carries msgpack frames; a frame that is not well formed ends the connection. */
export class SocketPort implements FramePort {
  private receive: (frame: Frame) => void = () => undefined;
  private closed: () => void = () => undefined;

  private constructor(
    readonly peerId: string,
    private readonly socket: WebSocket,
  ) {
    socket.on("message", (data) => this.decode(data as Buffer));
    socket.on("close", () => this.closed());
    socket.on("error", () => socket.terminate());
  }

  /** Wraps an open WebSocket.
   * @param peerId Router at the other end.
   * @param socket The WebSocket. */
  static create(peerId: string, socket: WebSocket): SocketPort {
    return new SocketPort(peerId, socket);
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

  onClose(closed: () => void): void {
    this.closed = closed;
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

/** Whether a value is a well-formed chunk; checked by hand, for chunks are nearly all frames there are. */
function isChunk(value: unknown): value is FrameOf<"chunk"> {
  const chunk = value as Partial<FrameOf<"chunk">> | null;
  return chunk?.type === "chunk" && isCount(chunk.exchange) &&
    isCount(chunk.sequence) && isCount(chunk.events) &&
    chunk.bytes instanceof Uint8Array;
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
