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
  publication_status_request: {
    type: "publication_status_request",
    requestedAt: 99.5,
  },
  publication_status_response: {
    type: "publication_status_response",
    requestedAt: 99.5,
    status: {
      digest: 5,
      revision: 6,
      publicationAgeMs: 700,
      isPlatformUnavailable: false,
    },
  },
  "publication status of a host without the platform": {
    type: "publication_status_response",
    requestedAt: 99.5,
    status: {
      digest: 5,
      revision: 6,
      publicationAgeMs: 7_000,
      isPlatformUnavailable: true,
    },
  },
  "stream records": {
    type: "stream_records",
    records: [
      [2 ** 52, { service: "s", softwareVersion: "v1", order: 1 }],
      [3, { service: "t", softwareVersion: undefined, order: 2 }],
    ],
  },
  "stream lookup request": {
    type: "stream_lookup_request",
    lookupId: 3,
    key: 2 ** 52,
    service: "s",
    withinMs: 14_000,
  },
  "stream lookup response": {
    type: "stream_lookup_response",
    lookupId: 3,
    record: { service: "s", softwareVersion: "v1", order: 1 },
    versions: ["v1", "v2"],
    observedMs: 700.5,
  },
  "stream lookup response of a host that does not know the stream": {
    type: "stream_lookup_response",
    lookupId: 3,
    record: undefined,
    versions: [],
    observedMs: 0,
  },
  "prefix updates": {
    type: "prefix_updates",
    updates: [[1, 2, 3], [4, 5, 0]],
  },
  "prefix lookup request": {
    type: "prefix_lookup_request",
    lookupId: 3,
    part: 77,
  },
  "prefix lookup response": {
    type: "prefix_lookup_response",
    lookupId: 3,
    holders: [[9, 120]],
  },
  "probe acknowledgement": {
    type: "probe_ack",
    nonce: 8,
    target: "127.0.0.1:5",
    rumours: [{
      name: 4,
      incarnation: 12,
      status: "failed",
      phase: "ready",
      agoMs: 900,
    }],
  },
  "indirect probe request": {
    type: "indirect_probe_request",
    nonce: 8,
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
  "slot request": {
    type: "slot_request",
    loanId: 7,
    instanceHash: 9,
    borrower: "127.0.0.1:5",
    isForwarded: true,
  },
  "slot response": {
    type: "slot_response",
    loanId: 7,
    instanceHash: 9,
    isGranted: false,
  },
  "slot loan report": {
    type: "slot_loan_report",
    borrower: "127.0.0.1:5",
    inUse: [7],
    ended: [8, 10],
  },
  "host entries request": { type: "host_entries_request", names: [1, 2] },
  "crash reports": {
    type: "crash_words",
    news: {
      reports: [{
        fingerprint: 2 ** 48 - 1,
        agoMs: 12,
        crashes: [[7, 2], [8, 1]],
        excused: [7],
        parts: [2 ** 32 - 1],
      }],
      completions: [[2 ** 32 - 1, 5, 3]],
      heldParts: [[7, 2 ** 32 - 1]],
    },
  },
};

for (const [name, datagram] of Object.entries(DATAGRAMS)) {
  test(`a datagram survives encoding and decoding: ${name}`, (t) => {
    t.deepEqual(decodeDatagram(encodeDatagram(datagram)), datagram);
  });
}

const MALFORMED: Record<string, Buffer> = {
  "invalid msgpack": Buffer.from([0xc1]),
  "not a list": pack("text"),
  "an unknown type": pack([99, 1]),
  "a rumour with an unknown status": pack([9, [4, 12, 3, 1, 0]]),
  "a truncated rumour": pack([9, [4, 12, 1, 1]]),
  "a probe acknowledgement without a target": pack([7, 8, 9, []]),
  "a publication status request without a time": pack([1]),
  "a publication status response with a string digest": pack([2, 1, "x", 2, 3]),
  "a crash report without points": pack([6, [[1, 2, [[3]], []]]]),
  "gossip without a sender": pack([0, [1, 2, 3]]),
};

for (const [name, bytes] of Object.entries(MALFORMED)) {
  test(`a malformed datagram is rejected: ${name}`, (t) => {
    t.is(decodeDatagram(bytes), undefined);
  });
}
