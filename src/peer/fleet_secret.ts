import { createHmac, timingSafeEqual } from "node:crypto";

const TAG_BYTES = 12;

/** Signs and checks what routers send each other, with a secret that all of them share. */
export class FleetSecret {
  private constructor(private readonly secret: string) {}

  /** Creates a signer.
   * @param secret The shared secret. */
  static create(secret: string): FleetSecret {
    return new FleetSecret(secret);
  }

  /** Puts a tag before some bytes.
   * @param content The bytes. */
  seal(content: Buffer): Buffer {
    return Buffer.concat([this.tag(content), content]);
  }

  /** Returns the bytes behind a valid tag, or nothing.
   * @param sealed A tag and bytes. */
  open(sealed: Buffer): Buffer | undefined {
    if (sealed.length <= TAG_BYTES) return undefined;
    const content = sealed.subarray(TAG_BYTES);
    return timingSafeEqual(sealed.subarray(0, TAG_BYTES), this.tag(content))
      ? content
      : undefined;
  }

  /** Returns the token a router shows when it connects.
   * @param routerId The router that connects. */
  createToken(routerId: string): string {
    return this.tag(Buffer.from(`peer:${routerId}`)).toString("hex");
  }

  /** Whether a token belongs to a router.
   * @param routerId The router that claims it.
   * @param token What it showed. */
  isToken(routerId: string, token: string): boolean {
    const expected = Buffer.from(this.createToken(routerId));
    const shown = Buffer.from(token);
    return expected.length === shown.length && timingSafeEqual(expected, shown);
  }

  private tag(content: Buffer): Buffer {
    return createHmac("sha256", this.secret).update(content).digest().subarray(
      0,
      TAG_BYTES,
    );
  }
}
