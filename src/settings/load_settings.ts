import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { formatIssues } from "./format_issues.ts";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/** Parses settings from JSON text.
 * @param text The JSON text.
 * @returns The settings, or one line per error, each with its path. */
export function parseSettings(text: string): Result<Settings, string[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err([`settings: not JSON: ${(error as Error).message}`]);
  }
  const parsed = settingsSchema.safeParse(value);
  return parsed.success
    ? Ok(parsed.data)
    : Err(formatIssues(parsed.error, "settings"));
}

/** Reads and validates a settings file.
 * @param path Path of the file.
 * @returns The settings, or one line per error, each with its path. */
export function loadSettings(path: string): Result<Settings, string[]> {
  try {
    return parseSettings(readFileSync(path, "utf8"));
  } catch (error) {
    return Err([`settings: cannot be read: ${(error as Error).message}`]);
  }
}
