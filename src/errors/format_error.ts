import { ZodError } from "zod";
import { formatIssues } from "../settings/format_issues.ts";

/** Formats a thrown value as lines of text: one line per issue for a schema validation error, one line for anything
 * else.
 * @param error The thrown value.
 * @param subject Name of what was validated; each line starts with it. */
export function formatError(error: unknown, subject: string): string[] {
  if (error instanceof ZodError) return formatIssues(error, subject);
  return [`${subject}: ${error instanceof Error ? error.message : error}`];
}
