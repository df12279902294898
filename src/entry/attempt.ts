import type { Frame, FrameOf } from "../peer/frame_schema.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { ResponseSink } from "./response_sink.ts";
import type { SendGrant } from "./send_grant.ts";

/** Time that an owner has to confirm the outcome of a request after its deadline or after the router's stop. */
const CANCEL_CONFIRM_MS = 100;

/** Minimum number of bytes that are credited to the owner at once; a small fraction of the smallest stream window. */
const MIN_CREDIT_BYTES = 4 * 1024;

/** Outcome of an attempt. */
export type AttemptOutcome =
  | { type: "done" }
  | {
    type: "declined";
    reason: FrameOf<"declined">["reason"];
    owner: string;
    /** Backoff until the upstream may be tried again, in milliseconds, if it specified one. */
    backoffMs?: number;
  }
  /** The owner did not acknowledge the offer, or its connection was closed. `wasAccepted` tells whether it had accepted
   * the offer without queueing it. */
  | { type: "unreachable"; detail: string; wasAccepted: boolean }
  | { type: "failed"; ran: "no" | "unknown"; detail: string }
  /** The request was not offered, because the router has stopped. */
  | { type: "withdrawn" }
  | { type: "expired" }
  | { type: "abandoned" };

/** Dependencies and limits of an attempt. */
export interface AttemptOptions {
  client: PeerClient;
  offer: Omit<FrameOf<"offer">, "exchange">;
  sink: ResponseSink;
  grant: SendGrant;
  /** Time within which the owner must acknowledge the offer. */
  acceptTimeoutMs: number;
  /** Time until the caller's deadline. */
  remainingMs: number;
  /** Aborted when the caller disconnects or the request is held. */
  endSignal: AbortSignal;
  /** Aborted when the router has stopped. */
  stopSignal: AbortSignal;
  /** Called with the number of events in each chunk that is passed to the sink. */
  onEvents: (count: number) => void;
}

/** One offer of a request to one owner, until its outcome is known. */
export class Attempt {
  private readonly exchange: number;
  private resolve: (outcome: AttemptOutcome) => void = () => undefined;
  private isFinished = false;
  /** Whether the owner accepted the offer without queueing it. */
  private isAccepted = false;
  private isStopped = false;
  private chunks = 0;
  private bytes = 0;
  /** Bytes that were delivered to the caller and not yet credited to the owner. */
  private uncreditedBytes = 0;
  private delivery: Promise<void> = Promise.resolve();
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly handleStop = () => this.endForStop();
  private readonly handleEndSignal = () => this.finish({ type: "abandoned" });

  private constructor(private readonly options: AttemptOptions) {
    this.exchange = options.client.openExchange((frame) =>
      this.handleFrame(frame)
    );
  }

  /** Runs an attempt and resolves with its outcome.
   * @param options Dependencies and limits of the attempt. */
  static async run(options: AttemptOptions): Promise<AttemptOutcome> {
    return await new Attempt(options).start();
  }

  private start(): Promise<AttemptOutcome> {
    const {
      client,
      offer,
      acceptTimeoutMs,
      remainingMs,
      endSignal,
      stopSignal,
    } = this.options;
    return new Promise((resolve) => {
      this.resolve = resolve;
      const handleAcceptTimeout = () =>
        this.finishUnreachable("the owner did not acknowledge");
      this.timers.push(setTimeout(handleAcceptTimeout, acceptTimeoutMs));
      this.timers.push(
        setTimeout(() => this.handleDeadline(), Math.max(1, remainingMs)),
      );
      if (endSignal.aborted) return this.finish({ type: "abandoned" });
      if (stopSignal.aborted) return this.finish({ type: "withdrawn" });
      stopSignal.addEventListener("abort", this.handleStop, { once: true });
      endSignal.addEventListener("abort", this.handleEndSignal, {
        once: true,
      });
      client.send({ ...offer, exchange: this.exchange });
    });
  }

  /** Cancels the request and gives the owner time to confirm that it sent nothing. */
  private handleDeadline(): void {
    this.options.client.send({ type: "cancel", exchange: this.exchange });
    this.timers.push(
      setTimeout(() => this.finish({ type: "expired" }), CANCEL_CONFIRM_MS),
    );
  }

  /** Cancels the request because the router has stopped: forwards nothing more of its response. */
  private endForStop(): void {
    clearTimeout(this.timers[0]);
    this.isStopped = true;
    this.handleDeadline();
  }

  private finishUnreachable(detail: string): void {
    this.finish({ type: "unreachable", detail, wasAccepted: this.isAccepted });
  }

  private handleFrame(frame: Frame | undefined): void {
    if (this.isFinished) return;
    if (!frame) {
      return this.finishUnreachable("the connection to the owner ended");
    }
    clearTimeout(this.timers[0]);
    const handler = this.handlers[frame.type];
    if (handler) (handler as (frame: Frame) => void)(frame);
    else {this.finish({
        type: "failed",
        ran: "unknown",
        detail: `unexpected frame ${frame.type}`,
      });}
  }

  private readonly handlers: {
    [T in Frame["type"]]?: (frame: FrameOf<T>) => void;
  } = {
    accepted: (frame) => {
      this.isAccepted = !frame.queued;
    },
    declined: (frame) =>
      this.finish({
        type: "declined",
        reason: frame.reason,
        owner: frame.owner,
        backoffMs: frame.backoffMs,
      }),
    claim: () => this.handleClaim(),
    head: (frame) => this.options.sink.head(frame.status, frame.headers),
    chunk: (frame) => this.handleChunk(frame),
    end: (frame) => this.handleEnd(frame),
    failed: (frame) => this.handleFailure(frame),
  };

  private handleClaim(): void {
    const isGranted = !this.options.sink.isClosed &&
      this.options.grant.tryAcquire();
    this.options.client.send({
      type: isGranted ? "grant" : "withhold",
      exchange: this.exchange,
    });
    if (!isGranted) this.finish({ type: "abandoned" });
  }

  private handleChunk(frame: FrameOf<"chunk">): void {
    if (this.isStopped) return;
    if (frame.sequence !== this.chunks) {
      return this.finish({
        type: "failed",
        ran: "unknown",
        detail: "a part of the answer is missing",
      });
    }
    this.chunks += 1;
    this.bytes += frame.bytes.length;
    this.options.onEvents(frame.events);
    this.delivery = this.delivery.then(() => this.deliver(frame.bytes));
  }

  private async deliver(bytes: Uint8Array): Promise<void> {
    if (this.isStopped) return;
    await this.options.sink.chunk(bytes);
    this.uncreditedBytes += bytes.length;
    if (this.uncreditedBytes < MIN_CREDIT_BYTES) return;
    this.options.client.send({
      type: "credit",
      exchange: this.exchange,
      bytes: this.uncreditedBytes,
    });
    this.uncreditedBytes = 0;
  }

  private handleEnd(frame: FrameOf<"end">): void {
    if (this.isStopped) return this.finish({ type: "expired" });
    const isComplete = frame.chunks === this.chunks &&
      frame.bytes === this.bytes;
    if (!isComplete) {
      return this.finish({
        type: "failed",
        ran: "unknown",
        detail: "the answer is not whole",
      });
    }
    void this.delivery.then(() => this.finish({ type: "done" }));
  }

  private handleFailure(frame: FrameOf<"failed">): void {
    if (frame.ran === "no") this.options.grant.release();
    this.finish({ type: "failed", ran: frame.ran, detail: frame.detail });
  }

  private finish(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.options.endSignal.removeEventListener(
      "abort",
      this.handleEndSignal,
    );
    this.options.stopSignal.removeEventListener("abort", this.handleStop);
    const isEndedByOwner = outcome.type === "done" ||
      outcome.type === "declined";
    if (!isEndedByOwner) {
      this.options.client.send({ type: "cancel", exchange: this.exchange });
    }
    this.options.client.closeExchange(this.exchange);
    if (this.isStopped) this.resolve(outcome);
    else void this.delivery.then(() => this.resolve(outcome));
  }
}
