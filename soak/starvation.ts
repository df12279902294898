import { type CallerAttempt, KIND_RULES } from "./caller_attempt.ts";
import { crashesWorkers } from "./crashing_requests.ts";
import type { Evidence } from "./evidence.ts";
import { getPromptSize } from "./prompt_size.ts";
import { getOwnerOf, isPermanentKey } from "./soak_customers.ts";

/** Longest time limit of a route, in milliseconds: a caller that repeats its request for this long without being served
 * starves, and all requests of an overload have ended this long after it. */
export const STARVATION_WINDOW_MS = Math.max(
  ...Object.values(KIND_RULES).map(({ timeoutMs }) => timeoutMs),
);
/** Number of requests of a group that would be served at the rate of the others, above which it cannot be chance that
 * none was: the probability is below one in a million. */
const MIN_EXPECTED_SERVED = 14;

/** An interval in which no group may starve. */
interface ObservedPeriod {
  name: string;
  from: number;
  to: number;
}

/** Groups of requests, none of which may starve while others of its service are served. */
const GROUPINGS: Readonly<
  Record<string, (attempt: CallerAttempt) => string | undefined>
> = {
  customer: ({ key }) => getOwnerOf(key),
  route: ({ kind }) => kind,
  "prompt size": ({ prompt }) => getPromptSize(prompt),
};

/** Finds customers, routes and prompt sizes of which no request was served in a period in which others were: in each
 * window of an overload, and once its requests have ended.
 * @param evidence What callers, workers and the store saw. */
export function checkStarvation(evidence: Evidence): string[] {
  const attempts = evidence.attempts.filter(isComparable);
  return listPeriods(evidence).flatMap((period) => {
    const sent = attempts.filter(({ sentAt }) =>
      sentAt >= period.from && sentAt < period.to
    );
    return Object.entries(GROUPINGS).flatMap(([grouping, getGroup]) =>
      findStarvedGroups(sent, getGroup).map((starved) =>
        `${grouping} ${starved} ${period.name}`
      )
    );
  });
}

function listPeriods({ overloads }: Evidence): ObservedPeriod[] {
  return overloads.flatMap(({ name, from, to = Infinity }) => {
    const calmFrom = to + STARVATION_WINDOW_MS;
    const calmTo = calmFrom + STARVATION_WINDOW_MS;
    const during = { name: `in the overload ${name}`, from, to };
    const after = {
      name: `after the overload ${name}`,
      from: calmFrom,
      to: calmTo,
    };
    return to === Infinity ? [during] : [during, after];
  });
}

/** Whether nothing but the treatment of its group explains that an attempt was not served. */
function isComparable(attempt: CallerAttempt): boolean {
  return attempt.kind !== "version" && isPermanentKey(attempt.key) &&
    attempt.gaveUpAt === undefined && attempt.resumes === undefined &&
    !crashesWorkers(attempt);
}

function findStarvedGroups(
  attempts: readonly CallerAttempt[],
  getGroup: (attempt: CallerAttempt) => string | undefined,
): string[] {
  const services = new Set(
    Object.values(KIND_RULES).map((rules) => rules.service),
  );
  return [...services].flatMap((service) => {
    const ofService = attempts.filter((attempt) =>
      KIND_RULES[attempt.kind].service === service &&
      getGroup(attempt) !== undefined
    );
    const groups = new Set(ofService.map(getGroup));
    return [...groups].flatMap((group) => {
      const own = ofService.filter((attempt) => getGroup(attempt) === group);
      const others = ofService.filter((attempt) => getGroup(attempt) !== group);
      return isStarved(own, others)
        ? [`${group} of ${service} (${own.length} sent, none served)`]
        : [];
    });
  });
}

function isStarved(
  own: readonly CallerAttempt[],
  others: readonly CallerAttempt[],
): boolean {
  if (others.length === 0 || countServed(own) > 0) return false;
  const servedShare = countServed(others) / others.length;
  return own.length * servedShare >= MIN_EXPECTED_SERVED;
}

function countServed(attempts: readonly CallerAttempt[]): number {
  return attempts.filter(({ status, isWhole }) => status === 200 && isWhole)
    .length;
}
