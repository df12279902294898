import {
  type HeaderValue,
  parseRetryAfter,
} from "../http/parse_retry_after.ts";
import type { AvailabilityNotice } from "./availability_notice.ts";

/** Status codes with which an upstream declines a request. */
const DECLINE_STATUS_CODES: ReadonlySet<number> = new Set([429, 503]);

/** Header by which an upstream announces that it is leaving; depends on the protocol. */
export interface LeavingHeader {
  /** Lower-case name. */
  name: string;
  value: string;
}

/** Reads from an upstream's response to any request whether the upstream accepts further requests.
 * @param status Status code of the response.
 * @param headers Headers by lower-case name.
 * @param leaving Header of the protocol that announces leaving. */
export function readAvailabilityNotice(
  status: number,
  headers: Readonly<Record<string, HeaderValue>>,
  leaving: LeavingHeader,
): AvailabilityNotice {
  const values = [headers[leaving.name] ?? []].flat();
  return {
    backoffMs: DECLINE_STATUS_CODES.has(status)
      ? parseRetryAfter(headers["retry-after"], headers["date"])
      : undefined,
    isLeaving: values.some((value) => value.trim() === leaving.value),
  };
}
