import type { z } from "zod";

/** Describes every issue of a failed check, one line each, with its path.
 * @param error The failed check.
 * @param root Name of the checked document, the first part of each path. */
export function describeIssues(error: z.ZodError, root: string): string[] {
  return error.issues.map((issue) => {
    const path = [root, ...issue.path.map(String)].join(".");
    return `${path}: ${issue.message}`;
  });
}
