import { v4 as createUuid } from "uuid";
import type { FramePort } from "../peer/frame_port.ts";
import type { Frame, FrameOf } from "../peer/frame_schema.ts";
import type { QueueItem } from "./fair_queue.ts";

/** State of a job; `claiming` waits for the entry router's permission to send a request that must not run twice. */
export type JobState = "waiting" | "claiming" | "running" | "ended";

/** A request that was offered to the owner of its upstream. */
export class Job implements QueueItem {
  state: JobState = "waiting";
  /** Whether this router owned the upstream when the request was offered. */
  wasOwnedWhenOffered = true;
  /** Bytes sent to the entry router that the caller has not consumed yet. */
  private unacknowledgedBytes = 0;
  private resumeSender: (() => void) | undefined;
  private readonly attemptId = createUuid();
  private readonly abortController = new AbortController();

  private constructor(
    /** Connection to the entry router, which received the request from its caller. */
    readonly port: FramePort,
    /** The request as offered. */
    readonly offer: FrameOf<"offer">,
    /** Monotonic time in milliseconds at which the request was offered. */
    readonly offeredAt: number,
    /** Monotonic time in milliseconds of the caller's deadline. */
    readonly deadlineAt: number,
    private readonly windowBytes: number,
  ) {}

  /** Creates a job.
   * @param port Connection to the entry router.
   * @param offer The request.
   * @param now Monotonic time in milliseconds.
   * @param windowBytes Flow-control window: bytes that may be in flight to the caller. */
  static create(
    port: FramePort,
    offer: FrameOf<"offer">,
    now: number,
    windowBytes: number,
  ): Job {
    return new Job(port, offer, now, now + offer.remainingMs, windowBytes);
  }

  /** Id that distinguishes this job from other offers of the same request, so that only its own work is cancelled. */
  get attempt(): string {
    return this.attemptId;
  }

  get customer(): string {
    return this.offer.customer;
  }

  get partner(): string {
    return this.offer.partner;
  }

  get priority(): number {
    return this.offer.priority;
  }

  get capacityShare(): number {
    return this.offer.capacityShare;
  }

  /** Aborted when the work of the job must stop. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Sends a frame of this exchange to the entry router.
   * @param frame The frame without its exchange number. */
  send(frame: DistributiveOmit<Frame, "exchange">): void {
    this.port.send({ ...frame, exchange: this.offer.exchange } as Frame);
  }

  /** Records sent bytes and waits until the flow-control window has room again.
   * @param bytes Number of bytes sent. */
  async consumeWindow(bytes: number): Promise<void> {
    this.unacknowledgedBytes += bytes;
    if (this.unacknowledgedBytes <= this.windowBytes || this.signal.aborted) {
      return;
    }
    await new Promise<void>((resolve) => this.resumeSender = resolve);
  }

  /** Records bytes that the caller has consumed.
   * @param bytes Number of bytes consumed. */
  credit(bytes: number): void {
    this.unacknowledgedBytes -= bytes;
    if (this.unacknowledgedBytes <= this.windowBytes) this.unblockSender();
  }

  /** Aborts the work of the job and unblocks a sender that waits for the window. */
  abort(): void {
    this.abortController.abort();
    this.unblockSender();
  }

  private unblockSender(): void {
    this.resumeSender?.();
    this.resumeSender = undefined;
  }
}

/** `Omit` applied to each member of a union. */
type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K>
  : never;
