import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { request } from "undici";
import { WebSocket } from "ws";
import type { Fleet } from "../../tools/fleet.ts";
import { RawCaller } from "../http/raw_caller.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = { "x-beechkeel-customer": "kilima/rosters" };
const CHAT = JSON.stringify({
  model: "m1",
  messages: [{ role: "user", content: "hello" }],
});
const CHATS = "/v1/chat/completions";
const BOOKINGS = "/v1/services/bookings/confirm";

const CASES: [
  string,
  string,
  Record<string, string>,
  string,
  number,
  string,
  RegExp,
][] = [
  [
    "a body that is not JSON",
    CHATS,
    CUSTOMER,
    "{",
    400,
    "malformed_request",
    /body/,
  ],
  [
    "a chat without messages",
    CHATS,
    CUSTOMER,
    '{"model":"m1"}',
    400,
    "malformed_request",
    /body\.messages/,
  ],
  [
    "a body over the limit",
    CHATS,
    CUSTOMER,
    "x".repeat(60_000),
    413,
    "request_too_large",
    /body/,
  ],
  [
    "headers over the limit",
    CHATS,
    { ...CUSTOMER, "x-long": "x".repeat(20_000) },
    CHAT,
    431,
    "headers_too_large",
    /./,
  ],
  [
    "no customer",
    CHATS,
    {},
    CHAT,
    400,
    "malformed_request",
    /x-beechkeel-customer/,
  ],
  [
    "an unknown customer",
    CHATS,
    { "x-beechkeel-customer": "kilima/x" },
    CHAT,
    403,
    "unknown_customer",
    /kilima\/x/,
  ],
  [
    "an unknown model",
    CHATS,
    CUSTOMER,
    CHAT.replace("m1", "m9"),
    404,
    "unknown_model",
    /body\.model: m9/,
  ],
  [
    "an unknown service",
    "/v1/services/x/y",
    CUSTOMER,
    "",
    404,
    "unknown_service",
    /path: x/,
  ],
  ["an unknown path", "/x", CUSTOMER, "", 404, "not_found", /path: \/x/],
  [
    "a path that requires another method",
    "/locate",
    CUSTOMER,
    "",
    405,
    "method_not_allowed",
    /POST/,
  ],
  [
    "an invalid timeout",
    BOOKINGS,
    { ...CUSTOMER, "x-beechkeel-timeout-ms": "soon" },
    "",
    400,
    "malformed_request",
    /timeout/,
  ],
  [
    "an idempotency key that is too long",
    BOOKINGS,
    { ...CUSTOMER, "idempotency-key": "k".repeat(300) },
    "",
    400,
    "malformed_request",
    /key/,
  ],
  [
    "an invalid flag",
    BOOKINGS,
    { ...CUSTOMER, "x-beechkeel-repeatable": "?" },
    "",
    400,
    "malformed_request",
    /repeatable/,
  ],
];

function countRuns(fleet: Fleet): number {
  return [...fleet.engines, ...fleet.services].reduce(
    (sum, upstream) => sum + upstream.ledger.runs.length,
    0,
  );
}

async function waitForClose(socket: Socket): Promise<boolean> {
  socket.on("error", () => undefined).resume();
  return await new Promise((resolve) =>
    socket.once("close", () => resolve(true))
  );
}

test.serial("an invalid request gets one of the defined error kinds, runs nothing and does not affect other requests", async (t) => {
  const settings = { limits: { maxBodyBytes: 50_000 } };
  await withFleet({ settings }, async (fleet, caller) => {
    const { address } = fleet.routers[0]!;
    for (const [name, path, headers, body, status, kind, detail] of CASES) {
      const response = await request(`http://${address}${path}`, {
        method: "POST",
        headers,
        body,
      });
      const errorBody = await response.body.json() as {
        error: { kind: string; detail: string; ran: string };
      };
      t.is(response.statusCode, status, name);
      t.is(errorBody.error.kind, kind, name);
      t.regex(errorBody.error.detail, detail, name);
      t.is(errorBody.error.ran, "no", name);
    }
    t.is(countRuns(fleet), 0);
    t.true(
      (await caller.chat(
        { customer: "kilima/rosters", router: address },
        "c1",
        ["hello"],
      )).isComplete,
    );
  });
});

test.serial("a caller that sends its request too slowly gets status 408", async (t) => {
  const settings = { limits: { headerTimeoutMs: 300, requestTimeoutMs: 600 } };
  await withFleet({ settings }, async (fleet) => {
    const socket = connect(fleet.routers[0]!.httpPort, "127.0.0.1");
    let received = "";
    socket.setEncoding("utf8").on("data", (text) => received += text);
    socket.write(`POST ${CHATS} HTTP/1.1\r\nhost: router\r\n`);
    await waitForClose(socket);
    t.regex(received, /^HTTP\/1\.1 408 /);
    t.regex(received, /caller_too_slow/);
  });
});

// Guards against requests that ran after their caller got a 408 for a late head.
test.serial("a request whose head was refused as late does not run when its rest arrives", async (t) => {
  const settings = { limits: { headerTimeoutMs: 300, requestTimeoutMs: 600 } };
  await withFleet({ settings }, async (fleet) => {
    const caller = await RawCaller.create(fleet.routers[0]!.httpPort, false);
    caller.write(`POST ${CHATS} HTTP/1.1\r\nhost: router\r\n`);
    await caller.waitForResponses(1);
    caller.write("x-beechkeel-customer: kilima/rosters\r\n");
    caller.write(`content-length: ${CHAT.length}\r\n\r\n${CHAT}`);
    await delay(500);
    caller.close();
    t.deepEqual(caller.statuses, [408]);
    t.is(countRuns(fleet), 0);
  });
});

// Guards against requests that ran after their caller got a 408 for a late body.
test.serial("a request whose body was refused as late does not run when its rest arrives", async (t) => {
  const settings = { limits: { headerTimeoutMs: 300, requestTimeoutMs: 600 } };
  await withFleet({ settings }, async (fleet) => {
    const caller = await RawCaller.create(fleet.routers[0]!.httpPort, false);
    caller.write(
      `POST ${CHATS} HTTP/1.1\r\nhost: router\r\n` +
        "x-beechkeel-customer: kilima/rosters\r\n" +
        `content-length: ${CHAT.length}\r\n\r\n${CHAT.slice(0, 5)}`,
    );
    await caller.waitForResponses(1);
    caller.write(CHAT.slice(5));
    await delay(500);
    caller.close();
    t.deepEqual(caller.statuses, [408]);
    t.is(countRuns(fleet), 0);
  });
});

test.serial("invalid data on the port for other routers closes the connection and has no other effect", async (t) => {
  await withFleet({}, async (fleet, caller) => {
    const router = fleet.routers[0]!;
    const socket = connect(router.peerPort, "127.0.0.1");
    socket.write(Buffer.alloc(1_000_000, 7));
    t.true(await waitForClose(socket));
    const unauthenticated = new WebSocket(
      `ws://127.0.0.1:${router.peerPort}/`,
      {
        headers: { "x-router": "r2" },
      },
    );
    t.regex(
      await new Promise((resolve) =>
        unauthenticated.once("error", (error) => resolve(error.message))
      ),
      /403/,
    );
    const response = await caller.chat(
      { customer: "kilima/rosters", router: router.address },
      "c1",
      ["hello"],
    );
    t.true(response.isComplete);
  });
});

test.serial("a value of more than a million bytes is refused entirely, and the previous one stays current", async (t) => {
  await withFleet({}, async (fleet, caller) => {
    const parameters = { models: ["m".repeat(1_000_001)] };
    const value = {
      kind: "customer",
      partner: "kilima",
      name: "rosters",
      template: "standard",
      parameters,
    };
    fleet.platform.publish("kilima/customers/rosters", value);
    const router = fleet.routers[0]!;
    await waitUntil(
      "the value to be refused",
      () =>
        router.logLines.some((line) => /document_refused.*1000000/.test(line)),
    );
    const response = await caller.chat(
      { customer: "kilima/rosters", router: router.address },
      "c1",
      ["hello"],
    );
    t.true(response.isComplete);
  });
});
