import type { IncomingHttpHeaders } from "node:http";
import type { Client } from "undici";
import {
  type CallerAttempt,
  type GatewayRefusal,
  KIND_RULES,
} from "./caller_attempt.ts";
import { HOST } from "./soak_configuration.ts";

/** Sends a request and records in the attempt as much of the response as arrives.
 * @param attempt The attempt.
 * @param client Connection to the gateway. */
export async function exchange(
  attempt: CallerAttempt,
  client: Client,
): Promise<void> {
  const { method, timeoutMs } = KIND_RULES[attempt.kind];
  const response = await client.request({
    method,
    path: attempt.path,
    headers: buildHeaders(attempt, timeoutMs),
    body: attempt.body === "" ? null : attempt.body,
  });
  attempt.status = response.statusCode;
  attempt.seal = getSingle(response.headers, "x-beechkeel-response-seal");
  attempt.refusal = readRefusal(response.headers);
  for await (const part of response.body) attempt.text += String(part);
  attempt.isWhole = true;
}

/** Reads what a gateway states about a request that it refused; undefined if the response comes from a worker. */
function readRefusal(headers: IncomingHttpHeaders): GatewayRefusal | undefined {
  const kind = getSingle(headers, "x-beechkeel-error");
  if (kind === undefined) return undefined;
  return {
    kind,
    ran: getSingle(headers, "x-beechkeel-ran"),
    retryAfter: getSingle(headers, "retry-after"),
  };
}

function getSingle(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return value === undefined ? undefined : String(value);
}

function buildHeaders(
  attempt: CallerAttempt,
  timeoutMs: number,
): Record<string, string> {
  const headers: Record<string, string> = {
    host: HOST,
    "x-beechkeel-attempt-id": attempt.requestId,
    "x-beechkeel-deadline-ms": String(timeoutMs),
    "x-api-key": attempt.key,
    "x-beechkeel-tenant": "forged",
    "x-beechkeel-hold": "forged",
  };
  if (attempt.afterEvent > 0) {
    headers["last-event-id"] = String(attempt.afterEvent);
  }
  if (attempt.resumes !== undefined) headers["resumes"] = attempt.resumes;
  const [model, tokens, parts] = attempt.prompt.split("|");
  if (model) {
    headers["x-beechkeel-model"] = model;
    headers["x-beechkeel-token-usage"] = tokens!;
    headers["x-beechkeel-prefix-hash"] = parts!;
  }
  return headers;
}
