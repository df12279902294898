import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { describeIssues } from "./describe_issues.ts";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/** Parses settings from JSON text.
 * @param text The JSON text.
 * @returns The settings, or every error with its path. */
export function parseSettings(text: string): Result<Settings, string[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err([`settings: not JSON: ${(error as Error).message}`]);
  }
  const checked = settingsSchema.safeParse(value);
  return checked.success
    ? Ok(checked.data)
    : Err(describeIssues(checked.error, "settings"));
}

/** Reads and checks a settings file.
 * @param path The file's path. */
export function loadSettings(path: string): Result<Settings, string[]> {
  try {
    return parseSettings(readFileSync(path, "utf8"));
  } catch (error) {
    return Err([`settings: cannot be read: ${(error as Error).message}`]);
  }
}
