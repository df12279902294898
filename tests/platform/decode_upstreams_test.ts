import test from "ava";
import fc from "fast-check";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { UpstreamDecoder } from "../../platform/decode_upstreams.ts";

const ENTRY = buildWorkerEntry({
  service: "s",
  address: "10.1.64.5:8280",
  state: "ready",
  slots: 8,
  startedAt: 1_764_000_000_000,
});

function buildItem(id: string, value: unknown, revision = 1) {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return {
    private_key: `servers/${id}`,
    value: Buffer.from(text).toString("base64"),
    revision,
    created: 1,
  };
}

function decode(items: readonly unknown[]) {
  const problems: string[] = [];
  const changes = UpstreamDecoder.create().decode(items, 0, problems);
  return { changes, problems };
}

/** Entries that another writer may have left, by what is wrong with them. */
const UNSOUND: Record<string, unknown> = {
  "bytes that are no JSON": "\u0000\u0001",
  "no object": [1, 2],
  "nothing": null,
  "an unknown state": { ...ENTRY, state: "resting" },
  "a state of another type": { ...ENTRY, state: 1 },
  "no address": { ...ENTRY, address: undefined },
  "an address by name": { ...ENTRY, address: "worker:80" },
  "an address out of range": { ...ENTRY, address: "10.1.64.500:80" },
  "a port out of range": { ...ENTRY, address: "10.1.64.5:80000" },
  "no service": { ...ENTRY, service: undefined },
  "no slots": { ...ENTRY, slots: undefined },
  "no places": { ...ENTRY, slots: 0 },
  "places as text": { ...ENTRY, slots: "8" },
  "no zone": { ...ENTRY, zone: undefined },
  "no sequence": { ...ENTRY, sequence: undefined },
  "a sequence as text": { ...ENTRY, sequence: "1" },
  "no time to warm up": { ...ENTRY, cold_left_ms: undefined },
  "no version": { ...ENTRY, version: undefined },
  "a start that is no whole number": { ...ENTRY, born: 1.5 },
  "a start as text": { ...ENTRY, born: "1764000000000" },
  "no start, where others tell theirs": { ...ENTRY, born: undefined },
};

for (const [what, value] of Object.entries(UNSOUND)) {
  test(`an entry names no upstream, and the others stay: ${what}`, (t) => {
    const items = [buildItem("bad", value, 7), buildItem("sound", ENTRY)];
    const { changes, problems } = decode(items);
    t.deepEqual(changes[0], { id: "bad", revision: 7, upstream: undefined });
    t.is(changes[1]?.upstream?.startedAt, ENTRY.born);
    t.is(problems.length, 1);
  });
}

test("a start that no entry tells is not missed", (t) => {
  const { born: _, ...without } = ENTRY;
  const { changes, problems } = decode([buildItem("u", without)]);
  t.truthy(changes[0]?.upstream);
  t.is(changes[0]?.upstream?.startedAt, undefined);
  t.deepEqual(problems, []);
});

test("an item that is none costs no other", (t) => {
  const shapes = [null, 5, "text", [], {}, { private_key: 4 }, {
    private_key: "servers/x",
    revision: "7",
  }];
  const { changes, problems } = decode([...shapes, buildItem("u", ENTRY)]);
  t.deepEqual(changes.map(({ id }) => id), ["u"]);
  t.is(problems.length, shapes.length);
});

test("whatever other writers leave, nothing is thrown, no upstream comes of it and all sound ones stay", (t) => {
  const spoiled = fc.oneof(
    fc.anything({ maxDepth: 6 }),
    fc.record({
      private_key: fc.constantFrom("servers/a", "servers/__proto__", "x"),
      value: fc.oneof(fc.string(), fc.base64String(), fc.anything()),
      revision: fc.oneof(fc.integer(), fc.double(), fc.string()),
    }),
    fc.tuple(
      fc.constantFrom(...Object.keys(ENTRY)),
      fc.anything({ maxDepth: 2 }),
    ).map(([field, value]) =>
      buildItem("__proto__", { ...ENTRY, [field]: value ?? undefined })
    ).filter((item) => !isSound(item.value)),
  );
  const property = fc.property(fc.array(spoiled, { maxLength: 8 }), (bad) => {
    const sound = [buildItem("one", ENTRY), buildItem("two", ENTRY)];
    const [first, ...rest] = bad;
    const { changes } = decode([first, sound[0], ...rest, sound[1]]);
    const named = changes.filter(({ upstream }) => upstream !== undefined);
    return named.map(({ id }) => id).join() === "one,two";
  });
  fc.assert(property, { seed: 19, numRuns: 2_000 });
  t.pass();
});

/** Whether a value drawn at random is a whole entry by chance. */
function isSound(value: string): boolean {
  const entry = JSON.parse(Buffer.from(value, "base64").toString());
  const { born, sequence, cold_left_ms, slots, version, zone, service } = entry;
  return Number.isInteger(born) && Number.isInteger(sequence) &&
    Number.isInteger(slots) && typeof cold_left_ms === "number" &&
    ["string", "number"].includes(typeof version) &&
    typeof zone === "string" && typeof service === "string" &&
    entry.address === ENTRY.address && entry.state === ENTRY.state;
}
