import { v4 as createUuid } from "uuid";
import type { FramePort } from "../peer/frame_port.ts";
import type { Frame, FrameOf } from "../peer/frame_schema.ts";
import type { ShareholderStructure } from "./fair_queue.ts";

/** What a job is doing. */
export type JobState = "waiting" | "claiming" | "running" | "over";

/** One offered request at the owner of its upstream. */
export class Job implements ShareholderStructure {
  /** What the job is doing. */
  state: JobState = "waiting";
  /** Whether this router owned the upstream when the request was offered. */
  isForOwner = true;
  /** Bytes sent to the entry that the caller has not taken. */
  private outstandingBytes = 0;
  private resumeWaiting: (() => void) | undefined;
  private readonly attemptId = createUuid();
  private readonly abortController = new AbortController();

  private constructor(
    /** Connection to the entry. */
    readonly port: FramePort,
    /** The request. */
    readonly offer: FrameOf<"offer">,
    /** Monotonic milliseconds at which the request was offered. */
    readonly offeredAt: number,
    /** Monotonic milliseconds at which nobody waits any more. */
    readonly deadlineAt: number,
    private readonly windowBytes: number,
  ) {}

  /** Creates a job.
   * @param port Connection to the entry.
   * @param offer The request.
   * @param now Monotonic milliseconds.
   * @param windowBytes Bytes that may be under way to the caller. */
  static create(
    port: FramePort,
    offer: FrameOf<"offer">,
    now: number,
    windowBytes: number,
  ): Job {
    return new Job(port, offer, now, now + offer.remainingMs, windowBytes);
  }

  /** Names this job among all that were offered for the request, so that only its own work is cancelled. */
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

  /** Aborted when the entry wants no more. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Sends a frame of this exchange to the entry.
   * @param frame The frame without its exchange. */
  send(frame: DistributiveOmit<Frame, "exchange">): void {
    this.port.send({ ...frame, exchange: this.offer.exchange } as Frame);
  }

  /** Records bytes sent and waits while too many are under way.
   * @param bytes Bytes sent. */
  async spend(bytes: number): Promise<void> {
    this.outstandingBytes += bytes;
    if (this.outstandingBytes <= this.windowBytes || this.signal.aborted) {
      return;
    }
    await new Promise<void>((resolve) => this.resumeWaiting = resolve);
  }

  /** Records bytes that the caller has taken.
   * @param bytes Bytes taken. */
  credit(bytes: number): void {
    this.outstandingBytes -= bytes;
    if (this.outstandingBytes <= this.windowBytes) this.wake();
  }

  /** Stops the job's work. */
  abort(): void {
    this.abortController.abort();
    this.wake();
  }

  private wake(): void {
    this.resumeWaiting?.();
    this.resumeWaiting = undefined;
  }
}

/** `Omit` applied to each member of a union. */
type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K>
  : never;
