/** `npm run losses -- FILE`: why engines lacked prompts that they were sent, and how requests ended, from the log lines of
 * all gateways of a fleet. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { type LogLine, parseLogLine } from "./log_line.ts";
import { PromptLosses } from "./prompt_losses.ts";

const path = process.argv[2];
if (path === undefined) {
  console.error("usage: npm run losses -- FILE");
  process.exit(2);
}
const lines = readFileSync(path, "utf8").split("\n")
  .flatMap((text) => parseLogLine(text) ?? [])
  .toSorted((a, b) => a.at - b.at);
const losses = PromptLosses.create();
for (const line of lines) losses.take(line);
console.table(losses.getLosses());
console.table(countEnds(lines));

/** How requests ended, the most frequent first; numbers within a detail are left out. */
function countEnds(all: readonly LogLine[]): Record<string, number> {
  const counts = new Map<string, number>();
  for (const { event, fields } of all) {
    if (event !== "request_ended") continue;
    const end = `${fields["result"]}: ${fields["detail"]}`
      .replaceAll(/\d+ /g, "");
    counts.set(end, (counts.get(end) ?? 0) + 1);
  }
  return Object.fromEntries([...counts].toSorted(([, a], [, b]) => b - a));
}
