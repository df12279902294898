import type { StreamOrigin, StreamRecord } from "../streams/stream_record.ts";
import { createStreamKey } from "../streams/stream_record.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { StreamAnnouncer } from "./call_forwarder_context.ts";
import { isResumableStream, type RoutedCall } from "./routed_call.ts";

/** Tracks where the stream of a call began, and tells other hosts before its first event can arrive. */
export class StreamTracker {
  /** Key under which other hosts know the stream; undefined if its caller can't resume it. */
  private readonly key: number | undefined;
  private record: StreamRecord | undefined;
  /** Whether the caller has received an event, so that the stream can't begin anywhere else. */
  private hasBegun: boolean;

  private constructor(
    call: RoutedCall,
    private readonly announcer: StreamAnnouncer,
  ) {
    const { resumed, customer, requestId } = call;
    this.hasBegun = resumed !== undefined;
    this.record = resumed?.record;
    this.key = isResumableStream(call)
      ? resumed ? resumed.key : createStreamKey(customer, requestId)
      : undefined;
    if (this.hasBegun) this.announce();
  }

  /** Creates the tracker of a call without attempts.
   * @param call The call.
   * @param announcer Tells other hosts. */
  static create(call: RoutedCall, announcer: StreamAnnouncer): StreamTracker {
    return new StreamTracker(call, announcer);
  }

  /** Where the stream must continue; undefined if it may still begin anywhere. */
  get origin(): StreamOrigin | undefined {
    return this.hasBegun ? this.record : undefined;
  }

  /** Records an attempt that is about to be sent, or an earlier one that has responded first; it may begin the stream.
   * @param upstream Its upstream. */
  recordSend({ published }: Upstream): void {
    if (this.hasBegun) return;
    const { service, softwareVersion } = published;
    const order = (this.record?.order ?? 0) + 1;
    this.record = { service, softwareVersion, order };
    this.announce();
  }

  /** Records that an event was forwarded to the caller. */
  recordEvent(): void {
    if (this.hasBegun || !this.record) return;
    this.hasBegun = true;
    // Hosts that have missed the last announcement would continue the stream where an earlier attempt was sent.
    if (this.record.order > 1) this.announce();
  }

  /** Records that another instance than the known one may have sent the events of the current attempt. */
  recordUncertainVersion(): void {
    if (!this.record) return;
    const order = this.record.order + 1;
    this.record = { ...this.record, softwareVersion: undefined, order };
    this.announce();
  }

  /** Ends the announcements. */
  close(): void {
    if (this.key === undefined || !this.record) return;
    this.announcer.release(this.key, this.record);
  }

  private announce(): void {
    if (this.key === undefined || !this.record) return;
    this.announcer.announce(this.key, this.record);
  }
}
