/** `npm run bench:events`: times the splitting of event streams of several sizes, which must take linear time. */
import { EventSplitter } from "../src/forward/event_splitter.ts";

const SIZES_MIB = [1, 4, 16];
const MIB = 1024 * 1024;
/** Size of the pieces in which a stream arrives, in bytes. */
const PIECE_BYTES = 64 * 1024;
const RUNS = 5;

/** Streams by what they consist of. */
const STREAMS: Readonly<Record<string, string>> = {
  "events of 36 bytes": "id: 1234\ndata: some words of text\n\n",
  "events of 4 bytes": ":a\n\n",
  "one event without lines": "x",
  "one event of short lines": "data: x\n",
};

for (const [name, repeated] of Object.entries(STREAMS)) {
  const times = SIZES_MIB.map((size) =>
    `${size} MiB ${measure(repeated, size)} ms`
  );
  console.log(`${name}: ${times.join(", ")}`);
}

/** Returns the shortest of several runs, in milliseconds. */
function measure(repeated: string, sizeMib: number): string {
  const bytes = Buffer.from(
    repeated.repeat(Math.ceil(sizeMib * MIB / repeated.length)),
  );
  const times = Array.from({ length: RUNS }, () => {
    const startedAt = performance.now();
    const splitter = EventSplitter.create();
    for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
      splitter.push(bytes.subarray(at, at + PIECE_BYTES));
    }
    splitter.close();
    return performance.now() - startedAt;
  });
  return Math.min(...times).toFixed(1);
}
