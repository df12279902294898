import { type HeaderValue, readRetryAfter } from "../http/read_retry_after.ts";
import type { AvailabilityNotice } from "./availability_notice.ts";

/** Status codes with which an upstream turns a request away. */
const DECLINE_STATUS_CODES: ReadonlySet<number> = new Set([429, 503]);

/** The header by which a protocol says that an upstream is leaving. */
export interface LeavingHeader {
  /** Name in lower case. */
  name: string;
  value: string;
}

/** Reads what an upstream's answer, to whatever request, says of whether it takes further ones.
 * @param status Status code of the answer.
 * @param headers Headers by lower-case name.
 * @param leaving The protocol's header for leaving. */
export function readAvailabilityNotice(
  status: number,
  headers: Readonly<Record<string, HeaderValue>>,
  leaving: LeavingHeader,
): AvailabilityNotice {
  const said = [headers[leaving.name] ?? []].flat();
  return {
    backoffMs: DECLINE_STATUS_CODES.has(status)
      ? readRetryAfter(headers["retry-after"], headers["date"])
      : undefined,
    isLeaving: said.some((value) => value.trim() === leaving.value),
  };
}
