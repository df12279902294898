import test from "ava";
import {
  describeFingerprint,
  fingerprintRequest,
  type RequestIdentity,
} from "../../src/hashing/request_fingerprint.ts";

const IDENTITY: RequestIdentity = {
  method: "POST",
  host: "a.example",
  path: "/a/b?c=d",
  customer: "c",
  body: Buffer.from("body"),
};

const OTHERS: Record<string, Partial<RequestIdentity>> = {
  method: { method: "PUT" },
  host: { host: "b.example" },
  path: { path: "/a/b?c=e" },
  customer: { customer: undefined },
  body: { body: Buffer.from("bodY") },
  "no body": { body: undefined },
};

test("the same request has the same fingerprint each time", (t) => {
  const again = { ...IDENTITY, body: Buffer.from("body") };
  t.is(fingerprintRequest(again), fingerprintRequest(IDENTITY));
  t.regex(describeFingerprint(fingerprintRequest(IDENTITY)), /^[0-9a-f]{12}$/);
});

for (const [what, change] of Object.entries(OTHERS)) {
  test(`a request with another ${what} has another fingerprint`, (t) => {
    const other = fingerprintRequest({ ...IDENTITY, ...change });
    t.not(other, fingerprintRequest(IDENTITY));
  });
}
