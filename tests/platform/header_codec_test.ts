import test from "ava";
import { platformHeaders } from "../../platform/header_codec.ts";

const REQUEST = [
  "Host",
  "a.example",
  "X-Beechkeel-Attempt-Id",
  "r-1",
  "X-Beechkeel-Deadline-Ms",
  "1200",
  "X-Api-Key",
  "secret",
  "X-Beechkeel-Model",
  "m",
  "X-Beechkeel-Token-Usage",
  "1460,80",
  "X-Beechkeel-Prefix-Hash",
  "5c1e:800,91bd:410,e440:250",
  "X-Other",
  "kept",
];

const OWN = {
  upstreamId: "u-1",
  remainingMs: 700.9,
  customer: "c",
  urgency: 3,
  lastEventId: undefined,
  fetchFrom: undefined,
};

/** Headers as lower-case names and values. */
function toMap(headers: readonly string[]): Map<string, string> {
  const pairs = new Map<string, string>();
  for (let index = 0; index < headers.length; index += 2) {
    pairs.set(headers[index]!.toLowerCase(), headers[index + 1]!);
  }
  return pairs;
}

test("what a caller's headers say is read", (t) => {
  const caller = platformHeaders.readCaller(REQUEST);
  t.is(caller.requestId, "r-1");
  t.is(caller.host, "a.example");
  t.is(caller.remainingMs, 1_200);
  t.is(caller.key, "secret");
  t.deepEqual(caller.prompt?.parts.map((part) => part.tokens), [800, 410, 250]);
  t.is(caller.prompt?.promptTokens, 1_460);
});

test("an upstream is not shown the key, and is told the system's own word", (t) => {
  const sent = toMap(
    platformHeaders.writeUpstream(platformHeaders.readCaller(REQUEST), OWN),
  );
  t.false(sent.has("x-api-key"));
  t.is(sent.get("x-beechkeel-tenant"), "c");
  t.is(sent.get("x-beechkeel-expect-instance"), "u-1");
  t.is(sent.get("x-beechkeel-deadline-ms"), "700");
  t.is(sent.get("x-other"), "kept");
  t.is(sent.get("x-beechkeel-model"), "m");
});

const FORGED = [
  "X-Beechkeel-Tenant",
  "X-Beechkeel-Expect-Instance",
  "X-Beechkeel-Expect-Version",
  "X-Beechkeel-Request-Priority",
  "X-Beechkeel-Hold",
  "X-Beechkeel-Pin-Ms",
  "X-Beechkeel-Kv-Backup",
  "Kv-From",
  "Kv-Fetch",
];

for (const name of FORGED) {
  test(`${name} that a caller sends is not passed on`, (t) => {
    const caller = platformHeaders.readCaller([...REQUEST, name, "forged"]);
    const sent = platformHeaders.writeUpstream(caller, {
      ...OWN,
      customer: undefined,
      urgency: undefined,
    });
    t.false(sent.includes("forged"));
  });
}

test("headers of one connection are dropped, but a caller can't have the request's own dropped so", (t) => {
  const caller = platformHeaders.readCaller([
    ...REQUEST,
    "Connection",
    "close, X-Other, X-Beechkeel-Model",
  ]);
  const sent = toMap(caller.passedOn);
  t.false(sent.has("connection"));
  t.false(sent.has("x-other"));
  t.is(sent.get("x-beechkeel-model"), "m");
});

test("a request with two ids or two hosts names none", (t) => {
  const twice = [...REQUEST, "X-Beechkeel-Attempt-Id", "r-2", "Host", "b"];
  const caller = platformHeaders.readCaller(twice);
  t.is(caller.requestId, undefined);
  t.is(caller.host, undefined);
});

test("only an upstream's own word says that a request was not run", (t) => {
  const read = (status: number, headers: Record<string, string>) =>
    platformHeaders.readAnswer(status, headers).isNotRun;
  t.true(read(503, { "x-beechkeel-not-executed": "1" }));
  t.true(read(421, {}));
  t.false(read(503, {}));
  t.false(read(429, {}));
});

test("an upstream's own word of its load is read, and nothing made of one that is none", (t) => {
  const read = (load: string) =>
    platformHeaders.readAnswer(200, { "x-beechkeel-server-load": load }).load;
  t.deepEqual(read("3,1,8"), { running: 3, waiting: 1 });
  t.is(read("many"), undefined);
  t.is(read(""), undefined);
});
