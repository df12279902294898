import fc from "fast-check";
import test from "ava";
import { ByteAccumulator } from "../../src/http/byte_accumulator.ts";

test("the bytes are returned as they were added, and the accumulator can be used again", (t) => {
  const accumulator = ByteAccumulator.create();
  const piece = fc.oneof(
    fc.uint8Array({ maxLength: 20 }),
    fc.integer({ min: 60_000, max: 140_000 }).map((size) =>
      new Uint8Array(size).fill(size % 251)
    ),
  );
  const property = fc.property(
    fc.array(piece, { maxLength: 8 }),
    fc.boolean(),
    (pieces, isCleared) => {
      if (isCleared) {
        accumulator.append(Buffer.alloc(100_000, 1));
        accumulator.clear();
      }
      const all = Buffer.concat(pieces);
      for (const each of pieces) accumulator.append(Buffer.from(each));
      return accumulator.length === all.length &&
        accumulator.take().equals(all) && accumulator.length === 0;
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 4, numRuns: 300 }));
});
