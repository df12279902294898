import test from "ava";
import fc from "fast-check";
import { pack } from "msgpackr";
import {
  decodeDatagram,
  encodeDatagram,
} from "../../src/peers/datagram_codec.ts";
import { buildGossip } from "./build_gossip.ts";

const GOSSIP = encodeDatagram(buildGossip());
const CRASH_REPORTS = encodeDatagram({
  type: "crash_words",
  news: {
    reports: [{
      fingerprint: 5,
      agoMs: 1,
      crashes: [[7, 2]],
      excused: [],
      parts: [3],
    }],
    completions: [[3, 9, 1]],
    heldParts: [[3]],
  },
});

/** Bytes that no host of the fleet sends: random bytes, random msgpack values, and truncated or corrupted datagrams. */
const malformed = fc.oneof(
  fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
  fc.jsonValue({ maxDepth: 5 }).map((value) => pack(value)),
  fc.tuple(fc.integer({ min: 0, max: 18 }), fc.jsonValue({ maxDepth: 4 })).map(
    ([type, body]) => pack([type, body]),
  ),
  fc.tuple(fc.constantFrom(GOSSIP, CRASH_REPORTS), fc.nat({ max: 200 })).map((
    [datagram, length],
  ) => datagram.subarray(0, length)),
  fc.tuple(
    fc.constantFrom(GOSSIP, CRASH_REPORTS),
    fc.nat({ max: 200 }),
    fc.nat({ max: 255 }),
  ).map(([datagram, index, byte]) => {
    const corrupted = Buffer.from(datagram);
    corrupted[index % corrupted.length] = byte;
    return corrupted;
  }),
);

test("the codec never throws, and a decoded datagram can be encoded and decoded again", (t) => {
  const property = fc.property(malformed, (bytes) => {
    const datagram = decodeDatagram(bytes);
    return datagram === undefined ||
      decodeDatagram(encodeDatagram(datagram)) !== undefined;
  });
  fc.assert(property, { seed: 19, numRuns: 5_000 });
  t.pass();
});
