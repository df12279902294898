import type { Failure } from "../errors/failure.ts";

/** Tells the handler of a request that the rest of its body can't be received. */
export class RequestReceipt {
  private failure: Failure | undefined;
  private listener: ((failure: Failure) => void) | undefined;

  private constructor() {}

  /** Creates the receipt of a request whose head was received. */
  static create(): RequestReceipt {
    return new RequestReceipt();
  }

  /** Records that the rest of the body can't be received.
   * @param failure Why. */
  fail(failure: Failure): void {
    this.failure = failure;
    this.listener?.(failure);
  }

  /** Calls a listener if the body can't be received, immediately if that is already known.
   * @param listener The only listener. */
  onFailure(listener: (failure: Failure) => void): void {
    this.listener = listener;
    if (this.failure) listener(this.failure);
  }
}
