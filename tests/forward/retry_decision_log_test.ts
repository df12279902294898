import { Writable } from "node:stream";
import test from "ava";
import { pino } from "pino";
import { CallLog } from "../../src/forward/call_log.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";

test("a refused retry is logged with the figures of the share that is used up", (t) => {
  const lines: Record<string, unknown>[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(JSON.parse(String(chunk)));
      done();
    },
  });
  const call = { requestId: "r-1", service: "s" } as RoutedCall;
  CallLog.create(pino(output), call).logRetryDecision({
    isAllowed: false,
    spent: 4,
    allowed: 4.25,
    requests: 12,
    hosts: 7,
    coverage: 0.123,
  }, { attempt: 1, events: 0 });
  t.like(lines[0], {
    msg: "retry_decided",
    request: "r-1",
    service: "s",
    attempt: 1,
    isAllowed: false,
    spent: 4,
    allowed: 4.25,
    requests: 12,
    hosts: 7,
    coverage: 0.12,
  });
});
