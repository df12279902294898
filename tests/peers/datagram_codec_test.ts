import test from "ava";
import { pack } from "msgpackr";
import type { Datagram } from "../../src/peers/datagram.ts";
import {
  decodeDatagram,
  encodeDatagram,
} from "../../src/peers/datagram_codec.ts";
import { buildGossip } from "./build_gossip.ts";

const DATAGRAMS: Record<string, Datagram> = {
  gossip: buildGossip(),
  question: { type: "age_question", askedAt: 99.5 },
  answer: {
    type: "age_answer",
    askedAt: 99.5,
    word: { digest: 5, revision: 6, publicationAgeMs: 700 },
  },
  "facts of prompts": {
    type: "prefix_facts",
    facts: [[1, 2, 3], [4, 5, 0]],
  },
  "question for a part": { type: "prefix_question", number: 3, part: 77 },
  "answer for a part": {
    type: "prefix_answer",
    number: 3,
    sightings: [[9, 120]],
  },
  "answer to a probe": {
    type: "probe_answer",
    number: 8,
    target: "127.0.0.1:5",
    rumours: [{
      name: 4,
      incarnation: 12,
      status: "failed",
      phase: "ready",
      agoMs: 900,
    }],
  },
  "request for a probe": {
    type: "probe_request",
    number: 8,
    target: "127.0.0.1:5",
  },
  rumours: {
    type: "host_rumours",
    rumours: [{
      name: 4,
      incarnation: 12,
      status: "alive",
      phase: "starting",
      agoMs: 0,
    }],
  },
  "question for hosts": { type: "host_question", names: [1, 2] },
  "words on crashes": {
    type: "crash_words",
    words: [{
      fingerprint: 2 ** 48 - 1,
      agoMs: 12,
      crashes: [[7, 2], [8, 1]],
      excused: [7],
    }],
  },
};

for (const [name, datagram] of Object.entries(DATAGRAMS)) {
  test(`a datagram comes out as it went in: ${name}`, (t) => {
    t.deepEqual(decodeDatagram(encodeDatagram(datagram)), datagram);
  });
}

const MALFORMED: Record<string, Buffer> = {
  "no msgpack": Buffer.from([0xc1]),
  "no list": pack("text"),
  "an unknown type": pack([99, 1]),
  "a rumour of an unknown status": pack([9, [4, 12, 3, 1, 0]]),
  "a rumour that ends too early": pack([9, [4, 12, 1, 1]]),
  "an answer to a probe without its target": pack([7, 8, 9, []]),
  "a question without a time": pack([1]),
  "an answer with text for a digest": pack([2, 1, "x", 2, 3]),
  "a crash without points": pack([6, [[1, 2, [[3]], []]]]),
  "gossip without a sender": pack([0, [1, 2, 3]]),
};

for (const [name, bytes] of Object.entries(MALFORMED)) {
  test(`a malformed datagram is left out: ${name}`, (t) => {
    t.is(decodeDatagram(bytes), undefined);
  });
}
