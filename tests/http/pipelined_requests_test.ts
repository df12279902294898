import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { CallerResponse } from "../../src/forward/caller_response.ts";
import { ClosingServer } from "./closing_server.ts";
import { RawCaller } from "./raw_caller.ts";

const request = (path: string) =>
  `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n`;

// Guards against a request that is run and gets no response, because the response before it closes the connection.
test("a pipelined request at a host that leaves is answered after the one before it", async (t) => {
  const held: CallerResponse[] = [];
  const { closing, port } = await ClosingServer.create((_request, response) =>
    held.push(CallerResponse.create(response, () => true))
  );
  const caller = await RawCaller.create(port);
  caller.write(request("/1") + request("/2"));
  await closing.waitForRuns(2);
  held[1]!.sendComplete(200, [], Buffer.from("second"));
  held[0]!.sendComplete(200, [], Buffer.from("first"));
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200, 200]);
  t.true(caller.received.endsWith("second"));
  t.is(caller.received.split("connection: close").length, 2);
  closing.close();
});

test("a request behind a stream that has announced the close is not run", async (t) => {
  const held: CallerResponse[] = [];
  const { closing, port } = await ClosingServer.create((_request, response) => {
    const stream = CallerResponse.create(response, () => true);
    held.push(stream);
    setImmediate(() => stream.beginStream(200, []));
  });
  const caller = await RawCaller.create(port);
  caller.write(request("/1"));
  await caller.waitForResponses(1);
  caller.write(request("/2"));
  while (closing.findLines("request_dropped").length === 0) {
    await delay(10);
  }
  held[0]!.endStream();
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200]);
  t.deepEqual(closing.ran, ["/1"]);
  t.false(caller.wasReset);
  closing.close();
});
