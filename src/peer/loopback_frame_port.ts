import type { FramePort } from "./frame_port.ts";
import type { Frame } from "./frame_schema.ts";

/** One end of an in-process connection, for a router that is both the entry and the owner of a request. */
export class LoopbackFramePort implements FramePort {
  /** @internal */
  readonly bufferedBytes = 0;
  private otherEnd: LoopbackFramePort | undefined;
  private receive: (frame: Frame) => void = () => undefined;
  private notifyClosed: () => void = () => undefined;
  private isOpen = true;

  private constructor(readonly peerId: string) {}

  /** Creates both ends of a connection.
   * @param routerId Id of the router, which is its own peer. */
  static createPair(routerId: string): [LoopbackFramePort, LoopbackFramePort] {
    const first = new LoopbackFramePort(routerId);
    const second = new LoopbackFramePort(routerId);
    first.otherEnd = second;
    second.otherEnd = first;
    return [first, second];
  }

  send(frame: Frame): void {
    const other = this.otherEnd;
    if (this.isOpen && other) setImmediate(() => other.receive(frame));
  }

  onFrame(receive: (frame: Frame) => void): void {
    this.receive = receive;
  }

  onClose(notifyClosed: () => void): void {
    this.notifyClosed = notifyClosed;
  }

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.notifyClosed();
    this.otherEnd?.close();
  }
}
