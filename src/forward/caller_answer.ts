import type { ServerResponse } from "node:http";
import type { Failure } from "../errors/failure.ts";

/** Status codes whose answers have no body. */
const BODYLESS_STATUS: ReadonlySet<number> = new Set([204, 304]);

/** The answer to one caller: given once, whole or as a stream. */
export class CallerAnswer {
  private isStarted = false;
  private isFinished = false;

  private constructor(
    private readonly response: ServerResponse,
    /** Whether the connection is to be closed after the answer; asked when the answer starts. */
    private readonly isLast: () => boolean,
  ) {}

  /** Creates the answer of a request.
   * @param response Where it is written.
   * @param isLast Whether the connection is to be closed after it. */
  static create(
    response: ServerResponse,
    isLast: () => boolean,
  ): CallerAnswer {
    return new CallerAnswer(response, isLast);
  }

  /** Whether anything of the answer was written. */
  get hasStarted(): boolean {
    return this.isStarted;
  }

  /** Gives an upstream's whole answer.
   * @param status Status code.
   * @param headers Name and value by turns.
   * @param body The whole body. */
  giveWhole(status: number, headers: readonly string[], body: Buffer): void {
    if (!this.begin(status, headers, body.length)) return;
    this.isFinished = true;
    this.response.end(body);
  }

  /** Begins a stream.
   * @param status Status code.
   * @param headers Name and value by turns. */
  beginStream(status: number, headers: readonly string[]): void {
    if (this.begin(status, headers, undefined)) this.response.flushHeaders();
  }

  /** Writes a part of the stream; returns whether more may follow at once.
   * @param bytes The part.
   * @param onRoom Told when more may follow, where it may not at once. */
  write(bytes: Buffer, onRoom: () => void): boolean {
    if (this.isFinished) return true;
    const hasRoom = this.response.write(bytes);
    if (!hasRoom) this.response.once("drain", onRoom);
    return hasRoom;
  }

  /** Ends a stream as whole. */
  endStream(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.response.end();
  }

  /** Gives a refusal; where a stream has begun, breaks it off so that it does not look whole.
   * @param failure The refusal. */
  refuse(failure: Failure): void {
    if (this.isFinished) return;
    if (this.isStarted) return this.breakOff();
    const body = Buffer.from(JSON.stringify(failure.body));
    const headers = Object.entries(failure.headers).flat();
    if (!this.begin(failure.status, headers, body.length)) return;
    this.isFinished = true;
    this.response.end(body);
  }

  private breakOff(): void {
    this.isFinished = true;
    this.response.destroy();
  }

  private begin(
    status: number,
    headers: readonly string[],
    length: number | undefined,
  ): boolean {
    if (this.isStarted || this.response.destroyed) return false;
    this.isStarted = true;
    const all = [...headers];
    const names = new Set(
      headers.filter((_, index) => index % 2 === 0).map((name) =>
        name.toLowerCase()
      ),
    );
    const hasBody = !BODYLESS_STATUS.has(status);
    if (length !== undefined && hasBody && !names.has("content-length")) {
      all.push("content-length", String(length));
    }
    if (this.isLast()) all.push("connection", "close");
    this.response.writeHead(status, all);
    return true;
  }
}
