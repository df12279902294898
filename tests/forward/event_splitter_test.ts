import fc from "fast-check";
import test from "ava";
import {
  EventSplitter,
  type StreamEvents,
} from "../../src/forward/event_splitter.ts";

const LINE_END_BY_KIND = { LF: "\n", CRLF: "\r\n" };

/** Splits bytes that arrive in pieces of the given sizes. */
function split(bytes: Buffer, sizes: readonly number[]) {
  const splitter = EventSplitter.create();
  const found: StreamEvents[] = [];
  let at = 0;
  for (let index = 0; at < bytes.length; index++) {
    const next = at + sizes[index % sizes.length]!;
    const events = splitter.push(bytes.subarray(at, next));
    if (events) found.push(events);
    at = next;
  }
  return { found, incompleteBytes: splitter.incompleteBytes };
}

const pieceSizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });

for (const [kind, end] of Object.entries(LINE_END_BY_KIND)) {
  test(`the same events are found however the bytes are split, with ${kind} line endings`, (t) => {
    const events = [1, 2, 3].map((id) =>
      `id: ${id}${end}data: x${id}${end}${end}`
    ).join("");
    const rest = `id: 4${end}da`;
    const findsAllEvents = fc.property(pieceSizes, (sizes) => {
      const { found, incompleteBytes } = split(
        Buffer.from(events + rest),
        sizes,
      );
      const bytes = Buffer.concat(found.map((each) => each.bytes)).toString();
      const ids = found.map(({ lastId }) => lastId).join();
      return bytes === events && incompleteBytes === rest.length &&
        found.reduce((sum, { count }) => sum + count, 0) === 3 &&
        found[0]!.firstId === "1" && found.at(-1)!.lastId === "3" &&
        (ids === "1,2,3" || found.length < 3);
    });
    t.notThrows(() => fc.assert(findsAllEvents, { seed: 2, numRuns: 300 }));
  });
}

// Guards against bytes that are lost, or forwarded before their event is complete.
test("whatever arrives, all bytes up to the last empty line are forwarded", (t) => {
  const line = fc.constantFrom("", "\r", "id: 1", "id:2", ":c", "data: x", "i");
  const property = fc.property(fc.array(line), pieceSizes, (lines, sizes) => {
    const text = lines.map((each) => `${each}\n`).join("") + "tail";
    const { found, incompleteBytes } = split(Buffer.from(text), sizes);
    const end = findLastEnd(lines);
    const forwarded = Buffer.concat(found.map(({ bytes }) => bytes)).toString();
    const count = lines.filter((each) => each === "" || each === "\r").length;
    return forwarded === text.slice(0, end) &&
      incompleteBytes === text.length - end &&
      found.reduce((sum, each) => sum + each.count, 0) === count;
  });
  t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 2_000 }));
});

/** Returns the offset after the last empty line. */
function findLastEnd(lines: readonly string[]): number {
  const last = lines.findLastIndex((each) => each === "" || each === "\r");
  return lines.slice(0, last + 1).reduce(
    (sum, each) => sum + each.length + 1,
    0,
  );
}

test("the id of an event is its first one, and survives until an event has another", (t) => {
  const splitter = EventSplitter.create();
  const text = ": a\n\nid: 1\nid: 2\n\n: b\n\nid: 3\n";
  const events = splitter.push(Buffer.from(text));
  t.is(events?.count, 3);
  t.is(events?.firstId, "1");
  t.is(events?.lastId, "1");
  t.is(splitter.push(Buffer.from("\n"))?.lastId, "3");
});
