import test from "ava";
import { StreamLookup } from "../../src/streams/stream_lookup.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";

const RECORD = { service: "s", softwareVersion: "v1", order: 1 };
const NOTHING = { record: undefined, versions: ["v1"], observedMs: 10 };

function startLookup(
  hosts: readonly string[],
  own = NOTHING,
  knowsFleet = true,
) {
  const timeline = VirtualTimeline.create();
  const asked: string[] = [];
  const ask = (host: string) => void asked.push(host);
  const lookup = StreamLookup.create({
    own,
    getHosts: () => hosts,
    knowsFleet: () => knowsFleet,
    ask,
    timeline,
  });
  return { timeline, asked, lookup };
}

test("the record with the highest order is found, in whichever order the hosts respond", async (t) => {
  const { lookup } = startLookup(["a", "b", "c"]);
  const later = { ...RECORD, softwareVersion: "v2", order: 2 };
  lookup.recordResponse("a", { ...NOTHING, record: RECORD });
  lookup.recordResponse("b", { ...NOTHING, record: later });
  lookup.recordResponse("c", { ...NOTHING, record: RECORD });
  t.deepEqual((await lookup.result).record, later);
});

test("versions of all hosts are collected, with the longest observation", async (t) => {
  const { lookup } = startLookup(["a", "b"]);
  lookup.recordResponse("a", { ...NOTHING, versions: ["v2"], observedMs: 5 });
  lookup.recordResponse("b", { ...NOTHING, observedMs: 90 });
  const { versions, observedMs } = await lookup.result;
  t.deepEqual(versions, ["v1", "v2"]);
  t.is(observedMs, 90);
});

test("hosts that do not respond are asked again, and not waited for once a record is found", async (t) => {
  const { lookup, timeline, asked } = startLookup(["a", "b"]);
  lookup.recordResponse("a", { ...NOTHING, record: RECORD });
  timeline.runUntil(60);
  const { record, responses, askedHosts } = await lookup.result;
  t.deepEqual(record, RECORD);
  t.deepEqual(asked, ["a", "b", "b", "b"]);
  t.deepEqual([responses, askedHosts], [1, 2]);
});

test("a lookup without any response ends", async (t) => {
  const { lookup, timeline } = startLookup(["a", "b"]);
  timeline.runUntil(150);
  const { record, responses } = await lookup.result;
  t.is(record, undefined);
  t.is(responses, 0);
});

test("a second response of a host has no effect", async (t) => {
  const { lookup } = startLookup(["a", "b"]);
  lookup.recordResponse("a", NOTHING);
  lookup.recordResponse("a", { ...NOTHING, record: RECORD });
  lookup.recordResponse("b", NOTHING);
  t.is((await lookup.result).record, undefined);
});

test("a host that has just started also asks the hosts that it discovers meanwhile", async (t) => {
  const hosts: string[] = [];
  const { lookup, timeline } = startLookup(hosts, NOTHING, false);
  timeline.runUntil(10);
  hosts.push("a", "b");
  timeline.runUntil(30);
  lookup.recordResponse("a", NOTHING);
  lookup.recordResponse("b", { ...NOTHING, record: RECORD });
  t.deepEqual((await lookup.result).record, RECORD);
});
