import { createHmac, timingSafeEqual } from "node:crypto";

/** Length to which the HMAC-SHA-256 tags are truncated. */
const TAG_BYTES = 12;

/** Authenticates messages and connections between routers by HMAC with a secret that all of them share. */
export class PeerAuthenticator {
  private constructor(private readonly secret: string) {}

  /** Creates an authenticator.
   * @param secret The shared secret. */
  static create(secret: string): PeerAuthenticator {
    return new PeerAuthenticator(secret);
  }

  /** Returns the content with its authentication tag in front.
   * @param content The bytes to sign. */
  sign(content: Buffer): Buffer {
    return Buffer.concat([this.computeTag(content), content]);
  }

  /** Returns the content after a valid tag; undefined if the tag is invalid or the content is empty.
   * @param signed A tag followed by content. */
  verify(signed: Buffer): Buffer | undefined {
    if (signed.length <= TAG_BYTES) return undefined;
    const content = signed.subarray(TAG_BYTES);
    return timingSafeEqual(
        signed.subarray(0, TAG_BYTES),
        this.computeTag(content),
      )
      ? content
      : undefined;
  }

  /** Returns the token that a router presents when it connects to a peer.
   * @param routerId Id of the connecting router. */
  createToken(routerId: string): string {
    return this.computeTag(Buffer.from(`peer:${routerId}`)).toString("hex");
  }

  /** Whether a token is valid for a router.
   * @param routerId Id that the connecting router claims.
   * @param token The token that it presented. */
  verifyToken(routerId: string, token: string): boolean {
    const expected = Buffer.from(this.createToken(routerId));
    const presented = Buffer.from(token);
    return expected.length === presented.length &&
      timingSafeEqual(expected, presented);
  }

  private computeTag(content: Buffer): Buffer {
    return createHmac("sha256", this.secret).update(content).digest().subarray(
      0,
      TAG_BYTES,
    );
  }
}
