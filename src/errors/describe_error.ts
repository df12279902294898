import { ZodError } from "zod";
import { describeIssues } from "../settings/describe_issues.ts";

/** Describes anything thrown, a line for each field in error where a schema refused a value.
 * @param error What was thrown.
 * @param subject What was checked, for the start of each line. */
export function describeError(error: unknown, subject: string): string[] {
  if (error instanceof ZodError) return describeIssues(error, subject);
  return [`${subject}: ${error instanceof Error ? error.message : error}`];
}
