import type { CallerAttempt } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import { getEventVersions } from "./stream_text.ts";

/** How many resumed streams continued. */
export interface ResumeSummary {
  sent: number;
  continued: number;
}

/** Finds streams whose events come from workers of several software versions, in one answer or over the attempts of a
 * caller.
 * @param evidence What callers received. */
export function checkStreamVersions({ attempts }: Evidence): string[] {
  const versionsByStream = new Map<string, Set<string>>();
  for (const attempt of attempts) {
    const stream = attempt.resumes ?? attempt.requestId;
    const versions = versionsByStream.get(stream) ?? new Set();
    for (const version of getEventVersions(attempt.text)) versions.add(version);
    versionsByStream.set(stream, versions);
  }
  return [...versionsByStream].filter(([, versions]) => versions.size > 1).map(
    ([stream, versions]) => `${stream}: events of ${[...versions].join(", ")}`,
  );
}

/** Counts the attempts that resume a stream, and those that received further events or its end.
 * @param attempts Attempts of callers. */
export function summarizeResumes(
  attempts: readonly CallerAttempt[],
): ResumeSummary {
  const resumes = attempts.filter(({ resumes, gaveUpAt }) =>
    resumes !== undefined && gaveUpAt === undefined
  );
  const continued = resumes.filter(({ status, isWhole, text }) =>
    status === 200 && (isWhole || text !== "")
  );
  return { sent: resumes.length, continued: continued.length };
}
