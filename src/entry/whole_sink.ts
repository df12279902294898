import type { Failure } from "../errors/failure.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { KeptAnswer } from "./outcome_store.ts";

/** Collects an answer and gives it out only when it is whole. */
export class WholeSink implements AnswerSink {
  private status = 200;
  private headers: Record<string, string> = {};
  private readonly parts: Uint8Array[] = [];

  private constructor(
    private readonly onWhole: (answer: KeptAnswer) => void,
    private readonly onFailure: (failure: Failure) => void,
    private readonly isGone: () => boolean,
  ) {}

  /** Creates a sink.
   * @param onWhole Told of the whole answer.
   * @param onFailure Told of the refusal.
   * @param isGone Whether nobody waits for the answer. */
  static create(
    onWhole: (answer: KeptAnswer) => void,
    onFailure: (failure: Failure) => void,
    isGone: () => boolean,
  ): WholeSink {
    return new WholeSink(onWhole, onFailure, isGone);
  }

  readonly hasStarted = false;

  get isClosed(): boolean {
    return this.isGone();
  }

  head(status: number, headers: Record<string, string>): void {
    this.status = status;
    this.headers = headers;
  }

  chunk(bytes: Uint8Array): Promise<void> {
    this.parts.push(bytes);
    return Promise.resolve();
  }

  end(): void {
    this.onWhole({
      status: this.status,
      headers: this.headers,
      body: Buffer.concat(this.parts),
    });
  }

  fail(failure: Failure): void {
    this.onFailure(failure);
  }
}
