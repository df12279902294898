import type { FramePort } from "./frame_port.ts";
import type { Frame } from "./frame_schema.ts";

/** An end of a connection within one process, for a router that is both entry and owner. */
export class LocalPort implements FramePort {
  /** @internal */
  readonly bufferedBytes = 0;
  private other: LocalPort | undefined;
  private receive: (frame: Frame) => void = () => undefined;
  private closed: () => void = () => undefined;
  private isOpen = true;

  private constructor(readonly peerId: string) {}

  /** Creates the two ends of a connection.
   * @param routerId The router, which is its own peer. */
  static createPair(routerId: string): [LocalPort, LocalPort] {
    const first = new LocalPort(routerId);
    const second = new LocalPort(routerId);
    first.other = second;
    second.other = first;
    return [first, second];
  }

  send(frame: Frame): void {
    const other = this.other;
    if (this.isOpen && other) setImmediate(() => other.receive(frame));
  }

  onFrame(receive: (frame: Frame) => void): void {
    this.receive = receive;
  }

  onClose(closed: () => void): void {
    this.closed = closed;
  }

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.closed();
    this.other?.close();
  }
}
