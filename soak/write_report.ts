import { mkdirSync, writeFileSync } from "node:fs";
import type { SeedResult } from "./seed_result.ts";

/** Directory for the reports of seeds that failed. */
const REPORT_FOLDER = "reports/soak";

/** Writes a result with its evidence and logs to a file. Returns the path of the file.
 * @param result The result. */
export function writeReport(result: SeedResult): string {
  mkdirSync(REPORT_FOLDER, { recursive: true });
  const path = `${REPORT_FOLDER}/seed-${result.seed}.json`;
  writeFileSync(path, JSON.stringify(result, undefined, 1));
  return path;
}
