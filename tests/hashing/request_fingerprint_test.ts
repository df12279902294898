import test from "ava";
import {
  fingerprintRequest,
  formatFingerprint,
  type RequestIdentity,
} from "../../src/hashing/request_fingerprint.ts";

const IDENTITY: RequestIdentity = {
  method: "POST",
  host: "a.example",
  path: "/a/b?c=d",
  customer: "c",
  body: Buffer.from("body"),
};

const DIFFERENCES: Record<string, Partial<RequestIdentity>> = {
  method: { method: "PUT" },
  host: { host: "b.example" },
  path: { path: "/a/b?c=e" },
  customer: { customer: undefined },
  body: { body: Buffer.from("bodY") },
  "presence of a body": { body: undefined },
};

test("equal requests have the same fingerprint", (t) => {
  const again = { ...IDENTITY, body: Buffer.from("body") };
  t.is(fingerprintRequest(again), fingerprintRequest(IDENTITY));
  t.regex(formatFingerprint(fingerprintRequest(IDENTITY)), /^[0-9a-f]{12}$/);
});

for (const [difference, change] of Object.entries(DIFFERENCES)) {
  test(`a request that differs in ${difference} has a different fingerprint`, (t) => {
    const other = fingerprintRequest({ ...IDENTITY, ...change });
    t.not(other, fingerprintRequest(IDENTITY));
  });
}
