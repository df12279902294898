import type { Dispatcher } from "undici";
import { readClock } from "../clock/clock.ts";
import type { UpstreamConnection } from "../upstreams/upstream_connection.ts";
import { closeAfterDeclineWindow } from "../upstreams/decline_window.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { isFramed } from "../http/is_framed.ts";
import { hasBody } from "./response_status.ts";
import type { HeaderCodec, ResponseHeaders } from "./caller_headers.ts";

/** Maximum difference between the times of day of two machines, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
  /** No byte of the request left this host. */
  | "not_sent"
  /** Not sent either: when the connection was ready, the request might no longer be sent to the upstream. */
  | "withheld"
  /** The connection failed after the request was sent, or the response does not belong to this request. */
  | "broken";

/** The HTTP request that an attempt sends. */
export interface AttemptRequest {
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
  requestId: string;
  /** Whether the request may be sent again although it may have run. */
  mayRunAgain: boolean;
  /** Whether the request continues a stream. */
  continuesStream: boolean;
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  /** The status and headers of the response arrived. */
  onHead(status: number, headers: ResponseHeaders): void;
  /** Bytes of the response body arrived. */
  onBytes(bytes: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  /** The attempt failed; there will be no complete response. */
  onFailure(failure: AttemptFailure, detail: string): void;
  /** The upstream declined the request after the attempt was abandoned. */
  onLateDecline(status: number, headers: ResponseHeaders): void;
}

/** Dependencies of an attempt. */
export interface AttemptContext {
  /** Whether a request may still be sent to an upstream that was chosen for it.
   * @param continuesStream Whether the request continues a stream. */
  maySendTo: (upstream: Upstream, continuesStream: boolean) => boolean;
  /** Parses the response headers. */
  codec: HeaderCodec;
  /** Checks whether the process of an upstream still runs. */
  isRunning: (upstream: Upstream) => Promise<boolean>;
  /** Records the slowdown that an upstream reported; undefined if it reports none. */
  recordSlowdown: (slowdown: number | undefined) => void;
  /** Records that a connection received a response.
   * @param establishedAt Monotonic milliseconds at which it was established. */
  recordConnectionResponse: (establishedAt: number) => void;
  /** Whether a request that may run only once can be sent on an idle connection to an upstream. */
  trustsIdleConnections: (upstream: Upstream) => boolean;
}

/** One attempt to send a request to one upstream, until the response ends or the attempt fails. */
export class Attempt {
  private readonly connection: UpstreamConnection;
  /** Monotonic milliseconds at which the first byte left this host. */
  private sentAt: number | undefined;
  private hasHead = false;
  private isAbandoned = false;
  private isFinished = false;
  private isReusable = true;
  private isReadingPaused = false;
  private isWithheld = false;
  /** Whether the response has neither a length nor chunks, so that it ends with its connection. */
  private isUnframed = false;
  /** Whether this is an unanswered trial request to an upstream that has recently backed off or been full. */
  private isTrial: boolean;
  private controller: { pause(): void; resume(): void } | undefined;

  private constructor(
    /** The upstream that the request is sent to. */
    readonly upstream: Upstream,
    private readonly context: AttemptContext,
    private readonly listener: AttemptListener,
    mayRunAgain: boolean,
  ) {
    this.connection = mayRunAgain || context.trustsIdleConnections(upstream)
      ? upstream.connections.acquire()
      : upstream.connections.connect();
    upstream.ownRequests += 1;
    this.isTrial = upstream.availability.beginRequest();
  }

  /** Sends a request.
   * @param upstream The upstream.
   * @param request The request.
   * @param context Its dependencies.
   * @param listener Receives the events, never before this method returns. */
  static create(
    upstream: Upstream,
    request: AttemptRequest,
    context: AttemptContext,
    listener: AttemptListener,
  ): Attempt {
    const { mayRunAgain } = request;
    const attempt = new Attempt(upstream, context, listener, mayRunAgain);
    attempt.send(request);
    return attempt;
  }

  /** Whether bytes of the request may have left this host. */
  get wasSent(): boolean {
    return this.sentAt !== undefined;
  }

  /** Milliseconds since the first byte left this host; 0 if none did. */
  get elapsedMs(): number {
    return this.sentAt === undefined ? 0 : readClock() - this.sentAt;
  }

  /** Whether the request may have been sent after a moment, as far as the clocks of two machines agree.
   * @param moment Unix milliseconds; undefined if they are not known. */
  mayHaveBeenSentAfter(moment: number | undefined): boolean {
    if (moment === undefined) return true;
    return Date.now() - this.elapsedMs > moment - MAX_CLOCK_DIFFERENCE_MS;
  }

  /** Whether the attempt has neither ended nor been abandoned. */
  get isInProgress(): boolean {
    return !this.isFinished && !this.isAbandoned;
  }

  /** Abandons the attempt; the listener then receives at most a late decline. Before the response head has arrived, the
   * connection stays open briefly, since a decline in transit also says when to send requests again. */
  abandon(): void {
    if (!this.isInProgress) return;
    this.isAbandoned = true;
    if (this.sentAt === undefined || this.hasHead) return this.close();
    closeAfterDeclineWindow(this.sentAt, () => this.close());
  }

  /** Whether reading is paused because the caller reads too slowly; silence then says nothing about the upstream. */
  get isPaused(): boolean {
    return this.isReadingPaused;
  }

  /** Pauses reading the response until `resume`. */
  pause(): void {
    this.isReadingPaused = true;
    this.controller?.pause();
  }

  /** Resumes reading the response. */
  resume(): void {
    this.isReadingPaused = false;
    if (!this.isFinished) this.controller?.resume();
  }

  private send(request: AttemptRequest): void {
    const { method, path, headers, body, requestId, continuesStream } = request;
    try {
      this.connection.send(
        { method: method as "GET", path, headers, body: body ?? null },
        {
          onRequestStart: (controller) =>
            this.onRequestStart(controller, continuesStream),
          onResponseStart: (_controller, status, headers) =>
            this.onHead(status, headers, requestId),
          onResponseData: (_controller, bytes) => {
            this.upstream.lastReceivedAt = readClock();
            this.connection.recordBody(bytes.length);
            if (!this.isFinished) this.listener.onBytes(bytes);
          },
          onResponseEnd: () => this.onEnd(),
          onResponseError: (_controller, error) => {
            this.fail(error.message);
          },
        },
      );
    } catch (error) {
      queueMicrotask(() => this.fail((error as Error).message));
    }
  }

  /** Called before the first byte is sent. Aborts a request that waited for its connection if it may no longer be sent to
   * the upstream. */
  private onRequestStart(
    controller: Dispatcher.DispatchController,
    continuesStream: boolean,
  ): void {
    this.controller = controller;
    if (this.context.maySendTo(this.upstream, continuesStream)) {
      this.sentAt = readClock();
      return;
    }
    this.isWithheld = true;
    controller.abort(new Error("not sent: the upstream may have left"));
  }

  private onHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    requestId: string,
  ): void {
    const now = readClock();
    this.upstream.lastReceivedAt = now;
    this.context.recordConnectionResponse(this.connection.establishedAt);
    if (status < 200) return this.connection.recordInterim();
    if (this.isFinished) return;
    const response = this.context.codec.readResponse(status, headers);
    // Another upstream that now has this address reports only its own availability.
    if (!response.isFromOtherUpstream) {
      this.upstream.availability.recordNotice(response.availability, now);
      if (response.warmUpMs !== undefined) {
        this.upstream.recordWarmUp(response.warmUpMs, now);
      }
    }
    if (!response.isNotRun) this.upstream.availability.recordAccepted();
    this.endTrial(!response.isNotRun);
    if (response.load) {
      const { running, waiting, slowdown } = response.load;
      const requests = running + waiting;
      this.upstream.reported = { requests, waiting, slowdown, at: now };
      this.context.recordSlowdown(slowdown);
    }
    if (response.closesConnection) this.isReusable = false;
    if (response.requestId !== undefined && response.requestId !== requestId) {
      return this.fail(`answer to another request ${response.requestId}`);
    }
    this.hasHead = true;
    this.isUnframed = hasBody(status) && !isFramed(headers);
    if (this.isAbandoned) return this.onLateHead(status, response);
    this.listener.onHead(status, response);
  }

  private onLateHead(status: number, headers: ResponseHeaders): void {
    this.close();
    if (headers.isNotRun) this.listener.onLateDecline(status, headers);
  }

  private onEnd(): void {
    if (this.connection.wasReset) return this.fail("reset within the answer");
    if (this.isUnframed) void this.checkUnframedEnd();
    else this.complete();
  }

  /** Completes a response that ended with its connection, unless the connection ended because the upstream has crashed:
   * the system then closes it in order too. */
  private async checkUnframedEnd(): Promise<void> {
    if (await this.context.isRunning(this.upstream)) this.complete();
    else this.fail("the upstream ended with its answer, which has no length");
  }

  private complete(): void {
    if (!this.finish()) return;
    if (this.isReusable) this.upstream.connections.release(this.connection);
    else this.connection.close();
    this.listener.onEnd();
  }

  private fail(detail: string): void {
    if (!this.finish()) return;
    this.connection.close();
    if (this.isAbandoned) return;
    this.listener.onFailure(this.classifyFailure(), detail);
  }

  private classifyFailure(): AttemptFailure {
    if (this.wasSent) return "broken";
    if (this.isWithheld) return "withheld";
    return "not_sent";
  }

  private endTrial(wasAccepted: boolean): void {
    if (!this.isTrial) return;
    this.isTrial = false;
    this.upstream.availability.endTrial(wasAccepted);
  }

  private close(): void {
    if (this.finish()) this.connection.close();
  }

  /** Ends the attempt; returns false if it had already ended. */
  private finish(): boolean {
    if (this.isFinished) return false;
    this.isFinished = true;
    this.upstream.ownRequests -= 1;
    this.endTrial(false);
    return true;
  }
}
