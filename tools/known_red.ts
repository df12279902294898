import { readFileSync } from "node:fs";
import process from "node:process";

/** Line of a failed test in the output of the test runner. */
const FAILED_LINE = /^\s*✘ \[fail\]: (.+)$/;
/** Any other line that tells of something gone wrong: a file that ended by itself, an error nobody caught, a time-out. */
const OTHER_TROUBLE =
  /^\s*(✘ (?!\[fail\])|Uncaught exception|Unhandled rejection|.*Timed out while running tests|.*test files? (did not|were not))/;

/** What the output of a failed test run says, against the list of tests that are known to fail. */
export interface Judgement {
  /** Listed tests that failed. */
  known: string[];
  /** What failed and is not listed. */
  unknown: string[];
}

/** Judges a failed run. A run without a single failed line is unknown trouble as a whole.
 * @param output Output of the test runner.
 * @param list Text of the list: a line each, the test's full name before the first ` | `; `#` begins a comment. */
export function judgeRun(output: string, list: string): Judgement {
  const names = list.split("\n").filter((line) =>
    line.trim() !== "" && !line.startsWith("#")
  ).map((line) => line.split(" | ")[0]!.trim());
  const known: string[] = [];
  const unknown: string[] = [];
  for (const line of output.split("\n")) {
    const failed = FAILED_LINE.exec(line)?.[1];
    const name = names.find((one) => failed?.startsWith(one));
    if (name) known.push(name);
    else if (failed ?? OTHER_TROUBLE.test(line)) unknown.push(line.trim());
  }
  if (known.length + unknown.length === 0) unknown.push("no failed test named");
  return { known, unknown };
}

function main(outputPath: string, listPath: string): void {
  const judgement = judgeRun(
    readFileSync(outputPath, "utf8"),
    readFileSync(listPath, "utf8"),
  );
  for (const name of judgement.known) console.log(`known red: ${name}`);
  for (const line of judgement.unknown) console.error(`not known: ${line}`);
  process.exitCode = judgement.unknown.length === 0 ? 0 : 1;
}

if (process.argv[1]?.endsWith("known_red.ts")) {
  main(process.argv[2]!, process.argv[3]!);
}
