/** The one permission to send a request that may not be repeated. */
export class SendGrant {
  private isTaken = false;

  private constructor() {}

  /** Creates a grant that nobody has taken. */
  static create(): SendGrant {
    return new SendGrant();
  }

  /** Whether the request may have been sent. */
  get taken(): boolean {
    return this.isTaken;
  }

  /** Takes the grant; returns whether it was there to take. */
  take(): boolean {
    if (this.isTaken) return false;
    this.isTaken = true;
    return true;
  }

  /** Takes the grant back, from an owner that says it sent nothing and will not. */
  giveBack(): void {
    this.isTaken = false;
  }
}
