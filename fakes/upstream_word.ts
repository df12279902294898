import type { ServerResponse } from "node:http";
import { reply } from "./http_fake.ts";
import type { Ledger } from "./ledger.ts";

/** What a stand-in of a product's upstream says in its answers of whether it takes requests. */
export interface UpstreamWord {
  /** Seconds without a request that it asks for when it turns one away; undefined where it takes them. */
  backoffSeconds: number | undefined;
  /** Whether its answers say that it is leaving, whatever its report says. */
  saysLeaving: boolean;
  /** Where it keeps what it turned away. */
  readonly ledger: Ledger;
}

/** Writes a stand-in's word into the head of an answer, and turns the request away where it asks for a backoff; returns
 * whether it did.
 * @param response The answer.
 * @param word What it says. */
export function sayWord(response: ServerResponse, word: UpstreamWord): boolean {
  if (word.saysLeaving) response.setHeader("x-leaving", "true");
  if (word.backoffSeconds === undefined) return false;
  response.setHeader("x-not-run", "true");
  response.setHeader("retry-after", String(word.backoffSeconds));
  word.ledger.refusedAt.push(Date.now());
  reply(response, { error: "full" }, 503);
  return true;
}
