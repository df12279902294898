import test from "ava";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { StreamTracker } from "../../src/forward/stream_tracker.ts";
import {
  createStreamKey,
  type ResumedStream,
  type StreamRecord,
} from "../../src/streams/stream_record.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildRoute, buildUpstream } from "../published/build_published.ts";

const KEY = createStreamKey("c", "r-1");

function createTracker(resumed?: ResumedStream, isResumable = true) {
  const announced: [number, StreamRecord][] = [];
  const released: [number, StreamRecord][] = [];
  const call = {
    requestId: "r-1",
    customer: "c",
    route: buildRoute({ kind: "stream", isResumable }),
    resumed,
  } as RoutedCall;
  const tracker = StreamTracker.create(call, {
    announce: (...announcement) => announced.push(announcement),
    release: (...release) => released.push(release),
  });
  return { tracker, announced, released };
}

function createUpstream(softwareVersion: string | undefined): Upstream {
  return Upstream.create(buildUpstream({ softwareVersion }));
}

function buildRecord(softwareVersion: string | undefined, order: number) {
  return { service: "s", softwareVersion, order };
}

test("a stream may begin anywhere until its first event, and then continues at that version", (t) => {
  const { tracker, announced } = createTracker();
  tracker.recordSend(createUpstream("v1"));
  t.is(tracker.origin, undefined);
  tracker.recordEvent();
  t.deepEqual(tracker.origin, buildRecord("v1", 1));
  tracker.recordSend(createUpstream("v1"));
  t.deepEqual(announced, [[KEY, buildRecord("v1", 1)]]);
});

test("a stream that a later attempt begins is announced again with its first event", (t) => {
  const { tracker, announced } = createTracker();
  tracker.recordSend(createUpstream("v1"));
  tracker.recordSend(createUpstream("v2"));
  tracker.recordEvent();
  const later = [KEY, buildRecord("v2", 2)];
  t.deepEqual(announced, [[KEY, buildRecord("v1", 1)], later, later]);
});

test("a resumed stream has an origin from the start, and is announced under the key of the request that began it", (t) => {
  const record = buildRecord("v1", 3);
  const { tracker, announced, released } = createTracker({ key: 7, record });
  t.deepEqual(tracker.origin, record);
  tracker.recordSend(createUpstream("v1"));
  t.deepEqual(announced, [[7, record]]);
  tracker.close();
  t.deepEqual(released, [[7, record]]);
});

test("a stream of an uncertain version overrides what was announced", (t) => {
  const { tracker, announced } = createTracker();
  tracker.recordSend(createUpstream("v1"));
  tracker.recordEvent();
  tracker.recordUncertainVersion();
  t.deepEqual(announced.at(-1), [KEY, buildRecord(undefined, 2)]);
  t.is(tracker.origin?.softwareVersion, undefined);
});

test("a stream that its caller can't resume is not announced, but continues at its version", (t) => {
  const { tracker, announced } = createTracker(undefined, false);
  tracker.recordSend(createUpstream("v1"));
  tracker.recordEvent();
  t.deepEqual(announced, []);
  t.is(tracker.origin?.softwareVersion, "v1");
});
