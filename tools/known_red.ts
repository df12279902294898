import { readFileSync } from "node:fs";
import process from "node:process";

/** Matches the line of a failed test in AVA's output. */
const FAILED_LINE = /^\s*✘ \[fail\]: (.+)$/;
/** Matches the lines of other failures: a test file that exited early, an uncaught error or a timeout. */
const OTHER_FAILURE_LINE =
  /^\s*(✘ (?!\[fail\])|Uncaught exception|Unhandled rejection|.*Timed out while running tests|.*test files? (did not|were not))/;

/** Failures of a test run, split by the list of tests that are known to fail. */
export interface FailureClassification {
  /** Names of listed tests that failed. */
  known: string[];
  /** Lines of failures that are not listed. */
  unknown: string[];
}

/** Classifies the failures of a failed test run; output without any line of a failure counts as an unknown failure.
 * @param output Output of AVA.
 * @param list Text of the list, one test per line: its full name up to the first ` | `; lines with `#` are comments. */
export function classifyFailures(
  output: string,
  list: string,
): FailureClassification {
  const knownNames = list.split("\n").filter((line) =>
    line.trim() !== "" && !line.startsWith("#")
  ).map((line) => line.split(" | ")[0]!.trim());
  const known: string[] = [];
  const unknown: string[] = [];
  for (const line of output.split("\n")) {
    const failed = FAILED_LINE.exec(line)?.[1];
    const name = knownNames.find((knownName) => failed?.startsWith(knownName));
    if (name) known.push(name);
    else if (failed ?? OTHER_FAILURE_LINE.test(line)) unknown.push(line.trim());
  }
  if (known.length + unknown.length === 0) unknown.push("no failure reported");
  return { known, unknown };
}

function main(outputPath: string, listPath: string): void {
  const failures = classifyFailures(
    readFileSync(outputPath, "utf8"),
    readFileSync(listPath, "utf8"),
  );
  for (const name of failures.known) console.log(`known red: ${name}`);
  for (const line of failures.unknown) console.error(`unlisted: ${line}`);
  process.exitCode = failures.unknown.length === 0 ? 0 : 1;
}

if (process.argv[1]?.endsWith("known_red.ts")) {
  main(process.argv[2]!, process.argv[3]!);
}
