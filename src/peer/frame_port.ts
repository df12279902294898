import type { Frame } from "./frame_schema.ts";

/** One end of an ordered connection that carries frames. */
export interface FramePort {
  /** Router at the other end. */
  readonly peerId: string;
  /** Sends a frame; frames sent after the connection ended are dropped. */
  send(frame: Frame): void;
  /** Bytes accepted for sending that have not left yet. */
  readonly bufferedBytes: number;
  /** Sets who receives frames. */
  onFrame(receive: (frame: Frame) => void): void;
  /** Sets who is told, once, that the connection ended. */
  onClose(closed: () => void): void;
  /** Ends the connection. */
  close(): void;
}
