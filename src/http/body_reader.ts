import type { IncomingMessage } from "node:http";
import { Failure } from "../errors/failure.ts";
import { pollSockets } from "./poll_sockets.ts";
import type { RequestReceipt } from "./request_receipt.ts";

/** Limits on the body of a request. */
export interface BodyLimits {
  maxBytes: number;
  /** Time within which the body must arrive, in milliseconds. */
  timeoutMs: number;
}

/** Collects the body of one request. */
export class BodyReader {
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly resolve: (body: Buffer) => void,
    private readonly reject: (error: Error) => void,
  ) {}

  /** Reads the body of a request. The connection stays open if that fails, so that the failure can still be sent.
   * @param request The request.
   * @param receipt Tells that the rest of the body can't be received.
   * @param limits Limits on the body.
   * @throws A failure if the body exceeds a limit or can't be received; an error if the connection ends. */
  static read(
    request: IncomingMessage,
    receipt: RequestReceipt,
    limits: BodyLimits,
  ): Promise<Buffer> {
    return new Promise((resolve, reject) =>
      new BodyReader(request, limits, resolve, reject).start(receipt)
    );
  }

  private start(receipt: RequestReceipt): void {
    const { request, limits } = this;
    const declaredLength = Number(request.headers["content-length"] ?? 0);
    if (declaredLength > limits.maxBytes) return this.failTooLarge();
    this.timer = setTimeout(() => void this.onOverdue(), limits.timeoutMs);
    request.on("data", this.onData);
    request.once("end", this.onEnd);
    request.once("error", this.fail);
    request.once("close", this.onClose);
    receipt.onFailure(this.fail);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.size += chunk.length;
    if (this.size > this.limits.maxBytes) return this.failTooLarge();
    this.chunks.push(chunk);
  };

  private readonly onEnd = (): void => {
    this.stop();
    this.resolve(Buffer.concat(this.chunks));
  };

  private readonly onClose = (): void =>
    this.fail(new Error("the connection ended within the body"));

  private readonly fail = (error: Error): void => {
    this.stop();
    this.chunks.length = 0;
    this.reject(error);
  };

  private failTooLarge(): void {
    const detail = `body: more than ${this.limits.maxBytes} bytes`;
    this.fail(Failure.create("request_too_large", detail));
  }

  /** Fails a body that is overdue. A process that was late may still have to read the rest. */
  private async onOverdue(): Promise<void> {
    await pollSockets();
    const detail = `body: incomplete after ${this.limits.timeoutMs} ms`;
    this.fail(Failure.create("caller_too_slow", detail));
  }

  private stop(): void {
    const { request } = this;
    clearTimeout(this.timer);
    request.off("data", this.onData);
    request.off("end", this.onEnd);
    request.off("error", this.fail);
    request.off("close", this.onClose);
  }
}
