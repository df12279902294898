import fc from "fast-check";
import test from "ava";
import { EventSplitter } from "../../src/forward/event_splitter.ts";

const LINE_END_BY_KIND = { LF: "\n", CRLF: "\r\n" };

for (const [kind, end] of Object.entries(LINE_END_BY_KIND)) {
  test(`the same events are found however the bytes are split, with ${kind} line endings`, (t) => {
    const events = [1, 2, 3].map((id) =>
      `id: ${id}${end}data: x${id}${end}${end}`
    );
    const bytes = Buffer.from(events.join("") + `id: 4${end}da`);
    const findsAllEvents = fc.property(
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      (sizes) => {
        const splitter = EventSplitter.create();
        const found: (string | undefined)[] = [];
        let at = 0;
        for (let index = 0; at < bytes.length; index++) {
          const next = at + sizes[index % sizes.length]!;
          for (const event of splitter.push(bytes.subarray(at, next))) {
            found.push(event.id);
          }
          at = next;
        }
        return found.join() === "1,2,3" && splitter.hasIncompleteEvent;
      },
    );
    t.notThrows(() => fc.assert(findsAllEvents, { seed: 2, numRuns: 300 }));
  });
}
