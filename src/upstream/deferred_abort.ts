import { closeAfterDeclineWindow } from "../upstreams/decline_window.ts";

/** Aborts a request to an upstream: at once after the head of its answer, before it once a decline would have arrived. */
export class DeferredAbort {
  private readonly controller = new AbortController();
  private hasResponseHead = false;

  private constructor(source: AbortSignal, sentAt: number) {
    const abort = () => this.controller.abort();
    source.addEventListener("abort", () => {
      if (this.hasResponseHead) abort();
      else closeAfterDeclineWindow(sentAt, abort);
    }, { once: true });
  }

  /** Creates one for a request that is being sent.
   * @param source Aborted when nobody waits for the answer.
   * @param sentAt Monotonic milliseconds at which the request is sent. */
  static create(source: AbortSignal, sentAt: number): DeferredAbort {
    return new DeferredAbort(source, sentAt);
  }

  /** Aborted when the connection is to be closed. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records that the head of the answer has arrived. */
  recordResponseHead(): void {
    this.hasResponseHead = true;
  }
}
