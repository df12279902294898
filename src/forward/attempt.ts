import type { Dispatcher } from "undici";
import { readClock } from "../clock/clock.ts";
import type { Channel } from "../upstreams/channel.ts";
import { closeAfterDeclineWindow } from "../upstreams/decline_window.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { AnswerHeaders, HeaderCodec } from "./caller_headers.ts";

/** Why an attempt ended without a whole answer. */
export type AttemptFailure =
  /** No byte of the request left this host. */
  | "not_sent"
  /** The same, for the upstream said meanwhile that it takes no requests. */
  | "withheld"
  /** The connection ended, or what came is no answer to this request. */
  | "broken";

/** What an attempt sends. */
export interface AttemptRequest {
  method: string;
  path: string;
  /** Name and value by turns. */
  headers: string[];
  body: Buffer | undefined;
  requestId: string;
}

/** Told what becomes of an attempt. */
export interface AttemptListener {
  /** The head of the answer. */
  onHead(status: number, answer: AnswerHeaders): void;
  /** Bytes of the answer's body. */
  onBytes(bytes: Buffer): void;
  /** The answer is whole. */
  onEnd(): void;
  /** There will be no whole answer. */
  onFailure(failure: AttemptFailure, detail: string): void;
  /** The upstream has declined the request after the attempt was abandoned. */
  onLateDecline(status: number, answer: AnswerHeaders): void;
}

/** One sending of a request to one upstream, up to its end. */
export class Attempt {
  private readonly channel: Channel;
  /** Monotonic milliseconds at which the first byte left this host. */
  private sentAt: number | undefined;
  private hasHead = false;
  private isAbandoned = false;
  private isOver = false;
  private isReusable = true;
  private hasPaused = false;
  private isWithheld = false;
  /** Whether the request tries an upstream that was left out, and was not answered yet. */
  private isTrial: boolean;
  private controller: { pause(): void; resume(): void } | undefined;

  private constructor(
    /** Where the request is sent. */
    readonly upstream: Upstream,
    private readonly codec: HeaderCodec,
    private readonly listener: AttemptListener,
  ) {
    this.channel = upstream.channels.take();
    upstream.ownRequests += 1;
    this.isTrial = upstream.availability.beginRequest();
  }

  /** Sends a request.
   * @param upstream Where to.
   * @param request The request.
   * @param codec Reads the answer's headers.
   * @param listener Told what becomes of it, never before this returns. */
  static create(
    upstream: Upstream,
    request: AttemptRequest,
    codec: HeaderCodec,
    listener: AttemptListener,
  ): Attempt {
    const attempt = new Attempt(upstream, codec, listener);
    attempt.send(request);
    return attempt;
  }

  /** Whether bytes of the request may have left this host. */
  get wasSent(): boolean {
    return this.sentAt !== undefined;
  }

  /** Milliseconds since the first byte left this host; 0 where none did. */
  get elapsedMs(): number {
    return this.sentAt === undefined ? 0 : readClock() - this.sentAt;
  }

  /** Whether its end has not come. */
  get isUnderWay(): boolean {
    return !this.isOver && !this.isAbandoned;
  }

  /** Breaks the attempt off; the listener is told of a late decline only. Before the head of the answer the connection
   * stays open for a moment, since a decline that is under way also says when to send again. */
  abandon(): void {
    if (!this.isUnderWay) return;
    this.isAbandoned = true;
    if (this.sentAt === undefined || this.hasHead) return this.close();
    closeAfterDeclineWindow(this.sentAt, () => this.close());
  }

  /** Whether this side has stopped reading, for the caller takes no more; silence then says nothing of the upstream. */
  get isPaused(): boolean {
    return this.hasPaused;
  }

  /** Stops reading the answer until `resume`. */
  pause(): void {
    this.hasPaused = true;
    this.controller?.pause();
  }

  /** Goes on reading the answer. */
  resume(): void {
    this.hasPaused = false;
    if (!this.isOver) this.controller?.resume();
  }

  private send(request: AttemptRequest): void {
    const { method, path, headers, body, requestId } = request;
    try {
      this.channel.send(
        { method: method as "GET", path, headers, body: body ?? null },
        {
          onRequestStart: (controller) => this.begin(controller),
          onResponseStart: (_controller, status, answerHeaders) =>
            this.takeHead(status, answerHeaders, requestId),
          onResponseData: (_controller, bytes) => {
            this.upstream.heardAt = readClock();
            if (!this.isOver) this.listener.onBytes(bytes);
          },
          onResponseEnd: () => this.takeEnd(),
          onResponseError: (_controller, error) => this.fail(error.message),
        },
      );
    } catch (error) {
      queueMicrotask(() => this.fail((error as Error).message));
    }
  }

  /** Lets the first byte out; a request that waited for its connection is withheld where the upstream takes none any more. */
  private begin(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.upstream.availability.takesRequests(readClock())) {
      this.sentAt = readClock();
      return;
    }
    this.isWithheld = true;
    controller.abort(new Error("the upstream takes no requests any more"));
  }

  private takeHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    requestId: string,
  ): void {
    const now = readClock();
    this.upstream.heardAt = now;
    if (status < 200 || this.isOver) return;
    const answer = this.codec.readAnswer(status, headers);
    // Another upstream at the address speaks for itself only.
    if (!answer.isOtherUpstream) {
      this.upstream.availability.note(answer.availability, now);
    }
    if (!answer.isNotRun) this.upstream.availability.noteTaken();
    this.endTrial(!answer.isNotRun);
    if (answer.load) {
      const requests = answer.load.running + answer.load.waiting;
      this.upstream.reported = { requests, at: now };
    }
    if (answer.isClosing) this.isReusable = false;
    if (answer.requestId !== undefined && answer.requestId !== requestId) {
      return this.fail(`answer to another request ${answer.requestId}`);
    }
    this.hasHead = true;
    if (this.isAbandoned) return this.takeLateHead(status, answer);
    this.listener.onHead(status, answer);
  }

  private takeLateHead(status: number, answer: AnswerHeaders): void {
    this.close();
    if (answer.isNotRun) this.listener.onLateDecline(status, answer);
  }

  private takeEnd(): void {
    if (this.channel.wasReset) return this.fail("reset within the answer");
    if (!this.finish()) return;
    if (this.isReusable) this.upstream.channels.giveBack(this.channel);
    else this.channel.close();
    this.listener.onEnd();
  }

  private fail(detail: string): void {
    if (!this.finish()) return;
    this.channel.close();
    if (this.isAbandoned) return;
    this.listener.onFailure(this.describeFailure(), detail);
  }

  private describeFailure(): AttemptFailure {
    if (this.wasSent) return "broken";
    return this.isWithheld ? "withheld" : "not_sent";
  }

  private endTrial(wasTaken: boolean): void {
    if (!this.isTrial) return;
    this.isTrial = false;
    this.upstream.availability.endTrial(wasTaken);
  }

  private close(): void {
    if (this.finish()) this.channel.close();
  }

  /** Ends the attempt; returns whether it had not ended before. */
  private finish(): boolean {
    if (this.isOver) return false;
    this.isOver = true;
    this.upstream.ownRequests -= 1;
    this.endTrial(false);
    return true;
  }
}
