import type { ServerResponse } from "node:http";
import { reply } from "./http_fake.ts";
import type { Ledger } from "./ledger.ts";

/** Availability that a fake upstream announces in its responses. */
export interface UpstreamAvailability {
  /** Backoff in seconds that it asks for when it declines a request; undefined if it accepts requests. */
  backoffSeconds: number | undefined;
  /** Whether its responses announce that it is leaving, independently of its report. */
  announcesLeaving: boolean;
  /** Ledger in which declined requests are recorded. */
  readonly ledger: Ledger;
}

/** Adds an upstream's availability to the headers of a response, and declines the request if the upstream asks for a
 * backoff. Returns whether the request was declined.
 * @param response The response.
 * @param availability The availability. */
export function applyAvailability(
  response: ServerResponse,
  availability: UpstreamAvailability,
): boolean {
  if (availability.announcesLeaving) response.setHeader("x-leaving", "true");
  if (availability.backoffSeconds === undefined) return false;
  response.setHeader("x-not-run", "true");
  response.setHeader("retry-after", String(availability.backoffSeconds));
  availability.ledger.declinedAt.push(Date.now());
  reply(response, { error: "full" }, 503);
  return true;
}
