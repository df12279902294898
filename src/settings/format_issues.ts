import type { z } from "zod";

/** Formats the issues of a failed validation, one line per issue, each prefixed with its path.
 * @param error The validation error.
 * @param root Name of the validated document; the first segment of each path. */
export function formatIssues(error: z.ZodError, root: string): string[] {
  return error.issues.map((issue) => {
    const path = [root, ...issue.path.map(String)].join(".");
    return `${path}: ${issue.message}`;
  });
}
