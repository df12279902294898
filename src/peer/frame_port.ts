import type { Frame } from "./frame_schema.ts";

/** One end of an ordered connection that transports frames. */
export interface FramePort {
  /** Id of the router at the other end. */
  readonly peerId: string;
  /** Sends a frame; frames sent after the connection was closed are dropped. */
  send(frame: Frame): void;
  /** Number of bytes queued for sending. */
  readonly bufferedBytes: number;
  /** Sets the callback for received frames, replacing an earlier one. */
  onFrame(receive: (frame: Frame) => void): void;
  /** Sets the callback that is called once when the connection is closed, replacing an earlier one. */
  onClose(notifyClosed: () => void): void;
  /** Closes the connection. */
  close(): void;
}
