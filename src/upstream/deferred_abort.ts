import { closeAfterDeclineWindow } from "../upstreams/decline_window.ts";

/** Aborts a request to an upstream: immediately if the response head has arrived, otherwise once a decline would have
 * arrived. */
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

  /** Creates a deferred abort for a request that is being sent.
   * @param source Aborted when nobody waits for the response any more.
   * @param sentAt Monotonic milliseconds at which the request is sent. */
  static create(source: AbortSignal, sentAt: number): DeferredAbort {
    return new DeferredAbort(source, sentAt);
  }

  /** Signal that is aborted when the connection is to be closed. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records that the response head has arrived. */
  recordResponseHead(): void {
    this.hasResponseHead = true;
  }
}
