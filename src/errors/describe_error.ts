import { ZodError } from "zod";
import { describeIssues } from "../settings/describe_issues.ts";

/** Formats a thrown value as lines of text: one line per issue for a schema validation error, one line for anything
 * else.
 * @param error The thrown value.
 * @param subject Name of what was validated; each line starts with it. */
export function describeError(error: unknown, subject: string): string[] {
  if (error instanceof ZodError) return describeIssues(error, subject);
  return [`${subject}: ${error instanceof Error ? error.message : error}`];
}
