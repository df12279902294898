import type { Frame, FrameOf } from "../peer/frame_schema.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { SendGrant } from "./send_grant.ts";

/** Time an owner has to say what became of a request whose time is over. */
const CANCEL_CONFIRM_MS = 100;

/** Bytes taken by the caller after which the owner is told; a small part of the least stream window. */
const CREDIT_STEP_BYTES = 4 * 1024;

/** How one attempt ended. */
export type AttemptOutcome =
  | { type: "done" }
  | {
    type: "declined";
    reason: FrameOf<"declined">["reason"];
    owner: string;
    /** Time until the upstream may be asked again, in milliseconds, where it told. */
    backoffMs?: number;
  }
  /** The owner was silent or its connection ended. */
  | { type: "unreachable"; detail: string; wasAccepted: boolean }
  | { type: "failed"; ran: "no" | "unknown"; detail: string }
  | { type: "expired" }
  | { type: "abandoned" };

/** What an attempt needs. */
export interface AttemptOptions {
  client: PeerClient;
  offer: Omit<FrameOf<"offer">, "exchange">;
  sink: AnswerSink;
  grant: SendGrant;
  /** Time in which the owner must acknowledge. */
  acceptTimeoutMs: number;
  /** Time left until the caller no longer waits. */
  remainingMs: number;
  /** Aborted when the caller is gone. */
  callerGone: AbortSignal;
  /** Told of the events that reached the sink. */
  onEvents: (count: number) => void;
}

/** One offer of a request to one owner, up to its end. */
export class Attempt {
  private readonly exchange: number;
  private resolve: (outcome: AttemptOutcome) => void = () => undefined;
  private isOver = false;
  private isAccepted = false;
  private chunks = 0;
  private bytes = 0;
  /** Bytes the caller has taken that the owner was not told of. */
  private takenBytes = 0;
  private delivery: Promise<void> = Promise.resolve();
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly leave = () => this.finish({ type: "abandoned" });

  private constructor(private readonly options: AttemptOptions) {
    this.exchange = options.client.openExchange((frame) => this.receive(frame));
  }

  /** Makes an attempt and resolves with how it ended.
   * @param options What the attempt needs. */
  static async make(options: AttemptOptions): Promise<AttemptOutcome> {
    return await new Attempt(options).start();
  }

  private start(): Promise<AttemptOutcome> {
    const { client, offer, acceptTimeoutMs, remainingMs, callerGone } =
      this.options;
    return new Promise((resolve) => {
      this.resolve = resolve;
      const silent = () => this.lose("the owner did not acknowledge");
      this.timers.push(setTimeout(silent, acceptTimeoutMs));
      this.timers.push(
        setTimeout(() => this.expire(), Math.max(1, remainingMs)),
      );
      if (callerGone.aborted) return this.finish({ type: "abandoned" });
      callerGone.addEventListener("abort", this.leave, { once: true });
      client.send({ ...offer, exchange: this.exchange });
    });
  }

  /** Asks the owner to stop, and gives it a moment to say that it had sent nothing. */
  private expire(): void {
    this.options.client.send({ type: "cancel", exchange: this.exchange });
    this.timers.push(
      setTimeout(() => this.finish({ type: "expired" }), CANCEL_CONFIRM_MS),
    );
  }

  private lose(detail: string): void {
    this.finish({ type: "unreachable", detail, wasAccepted: this.isAccepted });
  }

  private receive(frame: Frame | undefined): void {
    if (this.isOver) return;
    if (!frame) {
      return this.lose("the connection to the owner ended");
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
    claim: () => this.answerClaim(),
    head: (frame) => this.options.sink.head(frame.status, frame.headers),
    chunk: (frame) => this.takeChunk(frame),
    end: (frame) => this.takeEnd(frame),
    failed: (frame) => this.takeFailure(frame),
  };

  private answerClaim(): void {
    const isGranted = !this.options.sink.isClosed && this.options.grant.take();
    this.options.client.send({
      type: isGranted ? "grant" : "withhold",
      exchange: this.exchange,
    });
    if (!isGranted) this.finish({ type: "abandoned" });
  }

  private takeChunk(frame: FrameOf<"chunk">): void {
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
    await this.options.sink.chunk(bytes);
    this.takenBytes += bytes.length;
    if (this.takenBytes < CREDIT_STEP_BYTES) return;
    this.options.client.send({
      type: "credit",
      exchange: this.exchange,
      bytes: this.takenBytes,
    });
    this.takenBytes = 0;
  }

  private takeEnd(frame: FrameOf<"end">): void {
    const isWhole = frame.chunks === this.chunks && frame.bytes === this.bytes;
    if (!isWhole) {
      return this.finish({
        type: "failed",
        ran: "unknown",
        detail: "the answer is not whole",
      });
    }
    void this.delivery.then(() => this.finish({ type: "done" }));
  }

  private takeFailure(frame: FrameOf<"failed">): void {
    if (frame.ran === "no") this.options.grant.giveBack();
    this.finish({ type: "failed", ran: frame.ran, detail: frame.detail });
  }

  private finish(outcome: AttemptOutcome): void {
    if (this.isOver) return;
    this.isOver = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.options.callerGone.removeEventListener("abort", this.leave);
    const isEndedByOwner = outcome.type === "done" ||
      outcome.type === "declined";
    if (!isEndedByOwner) {
      this.options.client.send({ type: "cancel", exchange: this.exchange });
    }
    this.options.client.closeExchange(this.exchange);
    void this.delivery.then(() => this.resolve(outcome));
  }
}
