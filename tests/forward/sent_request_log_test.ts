import test from "ava";
import { pino } from "pino";
import { Writable } from "node:stream";
import { CallLog } from "../../src/forward/call_log.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";

test("a sent request is logged with the upstream's software version, the age of the publication, the stream that it resumes and its prompt parts", (t) => {
  const lines: Record<string, unknown>[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(JSON.parse(String(chunk)));
      done();
    },
  });
  const upstream = Upstream.create({
    id: "u-1",
    service: "s",
    address: "127.0.0.1:1",
    hall: "h",
    slots: 4,
    arrival: 1,
    isLeaving: false,
    softwareVersion: "v1.2",
  });
  const call = {
    requestId: "r-2",
    fingerprint: 1,
    headers: { resumedRequestId: "r-1" },
    sharedParts: [{ name: 17, tokens: 400 }, { name: 18, tokens: 30 }],
  } as unknown as RoutedCall;
  CallLog.create(pino(output), call).logSent({
    choice: { upstream, basis: "least_cost", bound: 3 },
    reason: "first",
    remainingMs: 100,
    lastEventId: "7",
    continuesStream: true,
    load: {
      own: 0,
      foreign: 0,
      countedHosts: 0,
      countAgeMs: 0,
      oldestCountAgeMs: 0,
      reported: undefined,
      reportAgeMs: undefined,
    },
    publicationAgeMs: 812.4,
    prompt: undefined,
  });
  t.like(lines[0], {
    msg: "request_sent",
    upstream: "u-1",
    softwareVersion: "v1.2",
    publicationAgeMs: 812,
    resumesAfter: "7",
    resumesRequest: "r-1",
    parts: "17,18",
  });
});
