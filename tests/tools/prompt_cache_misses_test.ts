import test from "ava";
import { parseLogLine } from "../../tools/log_line.ts";
import { PromptCacheMisses } from "../../tools/prompt_cache_misses.ts";

const ENGINES = ["e-0", "e-1", "e-2"];

/** Builds a log line at the given second, with a prefix as benchmarks print it. */
function formatLine(second: number, host: string, rest: string): string {
  const time = new Date(second * 1_000).toISOString();
  return ` ${second} ${host} level=info time=${time} host=${host} ${rest}`;
}

function countMisses(...texts: readonly string[]) {
  const misses = PromptCacheMisses.create();
  const published = ENGINES.map((engine, index) =>
    formatLine(
      0,
      "g-0",
      `upstream=${engine} state=live address=10.0.0.${index}:1 event=upstream_published`,
    )
  );
  for (const text of [...published, ...texts]) {
    misses.processLine(parseLogLine(text)!);
  }
  return misses.getMisses();
}

function formatRequestSent(
  second: number,
  engine: string,
  keptTokens: number,
  fetchFrom = "",
) {
  const from = fetchFrom && ` fetchFrom=${fetchFrom}`;
  return formatLine(
    second,
    "g-0",
    `request=r upstream=${engine} part=7 sharedTokens=100 keptTokens=${keptTokens}${from} event=request_sent`,
  );
}

test("a line that is not a log line is ignored", (t) => {
  t.is(parseLogLine("built in 1.6 s"), undefined);
});

test("a prompt is moved from a healthy engine, or fetched from the wrong engine if another one is named", (t) => {
  t.deepEqual(
    countMisses(
      formatRequestSent(1, "e-0", 0),
      formatRequestSent(2, "e-1", 0, "10.0.0.0:1"),
    ),
    [
      { outcome: "moved", holders: "healthy", requests: 1, tokens: 100 },
    ],
  );
  t.deepEqual(
    countMisses(
      formatRequestSent(1, "e-0", 0),
      formatRequestSent(2, "e-1", 40, "10.0.0.2:1"),
    ),
    [
      {
        outcome: "fetched from wrong engine",
        holders: "healthy",
        requests: 1,
        tokens: 60,
      },
    ],
  );
});

test("a miss records the state of the engine that had the prompt", (t) => {
  const broken = formatLine(
    1.5,
    "g-0",
    'upstream=e-0 detail="other side closed" event=attempt_failed',
  );
  const ejected = formatLine(
    1.6,
    "g-0",
    "upstream=e-0 ejectedMs=1000 event=upstream_ejected",
  );
  const [first] = countMisses(
    formatRequestSent(1, "e-0", 0),
    broken,
    formatRequestSent(2, "e-1", 0),
  );
  t.like(first, { outcome: "recomputed", holders: "broken" });
  const [second] = countMisses(
    formatRequestSent(1, "e-0", 0),
    broken,
    ejected,
    formatRequestSent(2, "e-1", 0),
  );
  t.like(second, { outcome: "recomputed", holders: "ejected" });
});

test("a prompt that was not used for long or is still cached is not a miss", (t) => {
  t.deepEqual(
    countMisses(
      formatRequestSent(1, "e-0", 0),
      formatRequestSent(12, "e-1", 0),
    ),
    [],
  );
  t.deepEqual(
    countMisses(
      formatRequestSent(1, "e-0", 0),
      formatRequestSent(2, "e-0", 100),
    ),
    [],
  );
});
