import test from "ava";
import { parseLogLine } from "../../tools/log_line.ts";
import { PromptCacheMisses } from "../../tools/prompt_cache_misses.ts";

const ENGINES = ["e-0", "e-1", "e-2"];

/** Writes a line at a second after the start, as a bench prints it with something before. */
function write(second: number, host: string, rest: string): string {
  const time = new Date(second * 1_000).toISOString();
  return ` ${second} ${host} level=info time=${time} host=${host} ${rest}`;
}

function count(...texts: readonly string[]) {
  const losses = PromptCacheMisses.create();
  const published = ENGINES.map((engine, index) =>
    write(
      0,
      "g-0",
      `upstream=${engine} state=live address=10.0.0.${index}:1 event=upstream_published`,
    )
  );
  for (const text of [...published, ...texts]) {
    losses.processLine(parseLogLine(text)!);
  }
  return losses.getMisses();
}

function send(second: number, engine: string, kept: number, fetchFrom = "") {
  const from = fetchFrom && ` fetchFrom=${fetchFrom}`;
  return write(
    second,
    "g-0",
    `request=r upstream=${engine} part=7 sharedTokens=100 keptTokens=${kept}${from} event=request_sent`,
  );
}

test("a line that is no log line is left out", (t) => {
  t.is(parseLogLine("built in 1.6 s"), undefined);
});

test("a prompt that leaves a sound engine is moved, or fetched in vain where the wrong one is named", (t) => {
  t.deepEqual(count(send(1, "e-0", 0), send(2, "e-1", 0, "10.0.0.0:1")), [
    { outcome: "moved", holders: "sound", requests: 1, tokens: 100 },
  ]);
  t.deepEqual(count(send(1, "e-0", 0), send(2, "e-1", 40, "10.0.0.2:1")), [
    { outcome: "fetched in vain", holders: "sound", requests: 1, tokens: 60 },
  ]);
});

test("it is told how the engine that had the prompt was", (t) => {
  const broken = write(
    1.5,
    "g-0",
    'upstream=e-0 detail="other side closed" event=attempt_failed',
  );
  const ejected = write(
    1.6,
    "g-0",
    "upstream=e-0 ejectedMs=1000 event=upstream_ejected",
  );
  const [first] = count(send(1, "e-0", 0), broken, send(2, "e-1", 0));
  t.like(first, { fate: "read", holders: "broken" });
  const [second] = count(send(1, "e-0", 0), broken, ejected, send(2, "e-1", 0));
  t.like(second, { fate: "read", holders: "ejected" });
});

test("what was not used for long, or is kept, is no loss", (t) => {
  t.deepEqual(count(send(1, "e-0", 0), send(12, "e-1", 0)), []);
  t.deepEqual(count(send(1, "e-0", 0), send(2, "e-0", 100)), []);
});
