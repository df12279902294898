import test from "ava";
import fc from "fast-check";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { decodeUpstreams } from "../../platform/decode_upstreams.ts";

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
  const changes = decodeUpstreams(items, 0, problems);
  return { changes, problems };
}

/** Entries that another writer may have stored, by their defect. */
const INVALID_ENTRIES: Record<string, unknown> = {
  "bytes that are not JSON": "\u0000\u0001",
  "not an object": [1, 2],
  "null": null,
  "an unknown state": { ...ENTRY, state: "resting" },
  "a state of another type": { ...ENTRY, state: 1 },
  "no address": { ...ENTRY, address: undefined },
  "an address with a host name": { ...ENTRY, address: "worker:80" },
  "an address out of range": { ...ENTRY, address: "10.1.64.500:80" },
  "a port out of range": { ...ENTRY, address: "10.1.64.5:80000" },
  "no service": { ...ENTRY, service: undefined },
  "no slots": { ...ENTRY, slots: undefined },
  "zero slots": { ...ENTRY, slots: 0 },
  "slots as text": { ...ENTRY, slots: "8" },
  "no zone": { ...ENTRY, zone: undefined },
  "no sequence": { ...ENTRY, sequence: undefined },
  "a sequence as text": { ...ENTRY, sequence: "1" },
  "no warm-up time": { ...ENTRY, cold_left_ms: undefined },
  "no version": { ...ENTRY, version: undefined },
  "a start time that is not an integer": { ...ENTRY, born: 1.5 },
  "a start time as text": { ...ENTRY, born: "1764000000000" },
  "a start time in the future": { ...ENTRY, born: 2 ** 53 - 1 },
};

test("the software version of an entry is decoded, also if it is a number", (t) => {
  const { changes } = decode([
    buildItem("one", { ...ENTRY, version: "v1.2" }),
    buildItem("two", { ...ENTRY, version: 3 }),
  ]);
  const versions = changes.map(({ upstream }) => upstream?.softwareVersion);
  t.deepEqual(versions, ["v1.2", "3"]);
});

for (const [defect, value] of Object.entries(INVALID_ENTRIES)) {
  test(`an invalid entry is not an upstream and does not affect the others: ${defect}`, (t) => {
    const items = [buildItem("bad", value, 7), buildItem("sound", ENTRY)];
    const { changes, problems } = decode(items);
    t.deepEqual(changes[0], { id: "bad", revision: 7, upstream: undefined });
    t.is(changes[1]?.upstream?.startedAt, ENTRY.born);
    t.is(problems.length, 1);
  });
}

test("an entry without a start time is decoded, whatever other entries have", (t) => {
  const { born: _, ...without } = ENTRY;
  const items = [buildItem("u", without), buildItem("v", ENTRY)];
  const { changes, problems } = decode(items);
  t.truthy(changes[0]?.upstream);
  t.is(changes[0]?.upstream?.startedAt, undefined);
  t.is(changes[1]?.upstream?.startedAt, ENTRY.born);
  t.deepEqual(problems, []);
});

test("a malformed item does not affect the others", (t) => {
  const shapes = [null, 5, "text", [], {}, { private_key: 4 }, {
    private_key: "servers/x",
    revision: "7",
  }];
  const { changes, problems } = decode([...shapes, buildItem("u", ENTRY)]);
  t.deepEqual(changes.map(({ id }) => id), ["u"]);
  t.is(problems.length, shapes.length);
});

test("arbitrary items throw no error, yield no upstream and leave the valid ones intact", (t) => {
  const invalidItem = fc.oneof(
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
    ).filter((item) => !isValidEntry(item.value)),
  );
  const property = fc.property(
    fc.array(invalidItem, { maxLength: 8 }),
    (invalidItems) => {
      const validItems = [buildItem("one", ENTRY), buildItem("two", ENTRY)];
      const [first, ...rest] = invalidItems;
      const { changes } = decode([
        first,
        validItems[0],
        ...rest,
        validItems[1],
      ]);
      const live = changes.filter(({ upstream }) => upstream !== undefined);
      return live.map(({ id }) => id).join() === "one,two";
    },
  );
  fc.assert(property, { seed: 19, numRuns: 2_000 });
  t.pass();
});

/** Whether a randomly generated value happens to be a valid entry. */
function isValidEntry(value: string): boolean {
  const entry = JSON.parse(Buffer.from(value, "base64").toString());
  const { born, sequence, cold_left_ms, slots, version, zone, service } = entry;
  const hasSoundStart = born === undefined || Number.isInteger(born);
  return hasSoundStart && Number.isInteger(sequence) &&
    Number.isInteger(slots) && typeof cold_left_ms === "number" &&
    ["string", "number"].includes(typeof version) &&
    typeof zone === "string" && typeof service === "string" &&
    entry.address === ENTRY.address && entry.state === ENTRY.state;
}
