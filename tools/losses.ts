/** `npm run losses -- FILE`: reports from the log lines of all gateways of a fleet why engines did not have prompts in
 * their cache, and how requests ended. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { type LogLine, parseLogLine } from "./log_line.ts";
import { PromptCacheMisses } from "./prompt_losses.ts";

const path = process.argv[2];
if (path === undefined) {
  console.error("usage: npm run losses -- FILE");
  process.exit(2);
}
const lines = readFileSync(path, "utf8").split("\n")
  .flatMap((text) => parseLogLine(text) ?? [])
  .toSorted((a, b) => a.at - b.at);
const misses = PromptCacheMisses.create();
for (const line of lines) misses.processLine(line);
console.table(misses.getMisses());
console.table(countRequestResults(lines));

/** Counts requests by result and detail, the most frequent first; numbers are removed from the detail. */
function countRequestResults(all: readonly LogLine[]): Record<string, number> {
  const counts = new Map<string, number>();
  for (const { event, fields } of all) {
    if (event !== "request_ended") continue;
    const end = `${fields["result"]}: ${fields["detail"]}`
      .replaceAll(/\d+ /g, "");
    counts.set(end, (counts.get(end) ?? 0) + 1);
  }
  return Object.fromEntries([...counts].toSorted(([, a], [, b]) => b - a));
}
