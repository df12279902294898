import test from "ava";
import { pino } from "pino";
import { CallerServer } from "../../src/entry/caller_server.ts";
import { DrainAdmission } from "../../src/entry/drain_admission.ts";
import type { EntryContext } from "../../src/entry/entry_context.ts";
import { getFreePort } from "../../tools/free_port.ts";
import { RawCaller } from "../http/raw_caller.ts";

const CHAT = JSON.stringify({
  model: "m1",
  stream: true,
  messages: [{ role: "user", content: "hello" }],
});

/** Builds the context of a server whose chats are begun and never ended.
 * @param port Port of the server.
 * @param counted Receives the names of the events that are counted. */
function buildContext(port: number, counted: string[]): EntryContext {
  return {
    settings: {
      http: { host: "127.0.0.1", port },
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 10_000,
        headerTimeoutMs: 5_000,
        requestTimeoutMs: 15_000,
        maxOpenRequests: 10,
      },
      routing: { defaultDeadlineMs: 1_000 },
    },
    logger: pino({ level: "silent" }),
    metrics: {
      count: (name: string) => counted.push(name),
      time: () => undefined,
    },
    configuration: {
      customers: {
        getCustomer: () => ({ id: "c", models: ["m1"], adapters: [] }),
      },
    },
    drain: DrainAdmission.create({
      logger: pino({ level: "silent" }),
      metrics: { count: () => undefined },
      limitMs: 10_000,
      hasOtherRouter: () => true,
      callersLeaveWithinMs: Infinity,
      getPaceRatio: () => undefined,
    }),
    dispatcher: {
      dispatch: async (
        _request: unknown,
        sink: { chunk: (bytes: Buffer) => Promise<void> },
      ) => {
        await sink.chunk(Buffer.from("data: 1\n\n"));
        return { type: "abandoned", mayHaveRun: true };
      },
    },
    getPhase: () => "serving",
  } as unknown as EntryContext;
}

// Guards against begun streams that stay open although their request has ended.
test("a response that its handler leaves open is cut", async (t) => {
  const counted: string[] = [];
  const port = await getFreePort();
  const server = await CallerServer.create(buildContext(port, counted));
  const caller = await RawCaller.create(port, false);
  caller.write(
    "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Beechkeel-Customer: c\r\n" +
      `Content-Length: ${CHAT.length}\r\n\r\n${CHAT}`,
  );
  await caller.waitForEnd();
  caller.close();
  server.close();
  t.deepEqual(caller.statuses, [200]);
  t.true(caller.received.includes("data: 1"));
  t.false(caller.received.endsWith("0\r\n\r\n"));
  t.deepEqual(counted, ["open_response"]);
});

// Guards against requests that are reset because they cross the end of a stop.
test("a request that arrives on a kept connection at the end of a stop is refused as not run", async (t) => {
  const port = await getFreePort();
  const server = await CallerServer.create(buildContext(port, []));
  const caller = await RawCaller.create(port);
  caller.write("GET /unknown HTTP/1.1\r\nHost: r\r\n\r\n");
  await caller.waitForResponses(1);
  server.stopListening();
  const closed = server.closeInOrder({ limitMs: 60_000 });
  caller.write("GET /unknown HTTP/1.1\r\nHost: r\r\n\r\n");
  await Promise.all([closed, caller.waitForEnd()]);
  t.deepEqual(caller.statuses, [404, 503]);
  t.true(caller.received.includes("x-beechkeel-ran: no"));
  t.false(caller.wasReset);
});

// Guards against a pipelined request that runs and gets no response, because the one before it closes the connection.
test("a pipelined request at a stopping router is answered after the one before it", async (t) => {
  const port = await getFreePort();
  const server = await CallerServer.create(buildContext(port, []));
  server.startDraining();
  const caller = await RawCaller.create(port);
  const chat = `POST /unknown HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n\r\n`;
  caller.write(`${chat}ab${chat}cd`);
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [404, 404]);
  t.is(caller.received.split("connection: close").length, 2);
  server.close();
});
