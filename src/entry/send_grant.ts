/** Exclusive permission to send a request that is not repeatable; one attempt at a time can hold it. */
export class SendGrant {
  private acquired = false;

  private constructor() {}

  /** Creates a grant that is not acquired. */
  static create(): SendGrant {
    return new SendGrant();
  }

  /** Whether the request may have been sent. */
  get isAcquired(): boolean {
    return this.acquired;
  }

  /** Acquires the grant; returns false if it is already acquired. */
  tryAcquire(): boolean {
    if (this.acquired) return false;
    this.acquired = true;
    return true;
  }

  /** Releases the grant, once the router that received it has confirmed that it sent nothing and will not. */
  release(): void {
    this.acquired = false;
  }
}
