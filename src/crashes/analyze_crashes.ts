import type { CrashPoints } from "./crash_report.ts";

/** Weight of a crash for the parts of a prompt, by the points of the request. Part of a response shows that the
 * upstream bore the prompt for a while. */
const WEIGHT_BY_POINTS: Readonly<Record<number, number>> = { 1: 0.25, 2: 1 };
/** Weight of a completion. It is below that of a crash, since a part need not crash each upstream that gets it. */
const COMPLETION_WEIGHT = 0.25;
/** Time within which crashes of several instances count as one, in milliseconds: a fault that they share is likelier
 * than prompts that reached all of them. */
const MOMENT_MS = 30;
/** Minimum score of a part that counts as the cause of crashes: crashes with as many different prompts, none of which
 * has completed. */
const CAUSE_THRESHOLD = 3;
/** Minimum fraction of the prompts with a cause that crash upstreams. A part of most prompts is in flight at the
 * crashes of several causes. */
const MIN_CRASH_FRACTION = 0.3;
/** Minimum weighted number of crashes of a part that is a suspect. */
const SUSPECT_CRASHES = 2;
/** Score up to which a part is no suspect, since one more crash would not make it a cause. */
const CLEARED_SCORE = -2;

/** A prompt that was in flight on crashed upstreams. */
export interface InterruptedPrompt {
  /** Hashes of the parts that it shares with others. */
  readonly parts: readonly number[];
  readonly crashes: readonly CrashPoints[];
  /** Monotonic milliseconds of the last of the crashes. */
  readonly lastCrashAt: number;
}

/** The crash of an instance, weighted for one part. */
interface WeightedCrash {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly weight: number;
}

/** Parts that likely crash upstreams. If several were in flight together each time, only prompts with all of them count
 * as crashing. */
export interface CrashCause {
  /** Hashes of the parts, in ascending order. */
  readonly parts: readonly number[];
  /** Weighted number of crashes. */
  readonly crashes: number;
  /** Number of prompts with the likeliest of the parts that are known to have completed. */
  readonly completions: number;
}

/** What is known of the crashes of upstreams that had a part in flight. */
interface PartEvidence {
  readonly part: number;
  readonly prompts: readonly InterruptedPrompt[];
  readonly crashes: number;
  readonly completions: number;
  readonly score: number;
}

/** The causes of a number of crashes, and how much the other parts are suspected. */
export interface CrashAnalysis {
  readonly causes: readonly CrashCause[];
  /** Scores of the parts that are no causes, for the crashes that no cause explains. */
  readonly scores: ReadonlyMap<number, number>;
  /** Hashes of the instances whose crash a cause explains. */
  readonly explained: ReadonlySet<number>;
  /** Parts of which it matters how often they have completed. */
  readonly suspects: ReadonlySet<number>;
}

/** Finds the parts of prompts that likely crash upstreams. All requests in flight on a crashed upstream are suspects; a
 * part is told from the parts that accompany it by the prompts that complete without it. The likeliest cause is taken
 * first, and the crashes that it explains do not count against other parts.
 * @param prompts The prompts that were in flight on crashed upstreams, each once.
 * @param getCompletions Returns how many prompts with a part have completed. */
export function analyzeCrashes(
  prompts: readonly InterruptedPrompt[],
  getCompletions: (part: number) => number,
): CrashAnalysis {
  const causes: CrashCause[] = [];
  let evidence = collectEvidence(prompts, getCompletions);
  const suspects = new Set(
    evidence.filter(isSuspect).map(({ part }) => part),
  );
  const explained = new Set<number>();
  let unexplained = prompts;
  let likeliest = findLikeliest(evidence);
  while (likeliest) {
    const cause = buildCause(likeliest, evidence);
    causes.push(cause);
    for (const instance of findInstances(unexplained, cause)) {
      explained.add(instance);
    }
    unexplained = removeCrashes(unexplained, explained);
    evidence = collectEvidence(unexplained, getCompletions);
    likeliest = findLikeliest(evidence);
  }
  const scores = evidence.map(({ part, score }) => [part, score] as const);
  return { causes, scores: new Map(scores), explained, suspects };
}

/** Whether a prompt contains all parts of a cause.
 * @param parts Hashes of the prompt's parts.
 * @param cause The cause. */
export function isCausedBy(
  parts: readonly number[],
  cause: Pick<CrashCause, "parts">,
): boolean {
  return cause.parts.every((part) => parts.includes(part));
}

/** Whether a part may be a cause once more is known. */
function isSuspect({ crashes, score }: PartEvidence): boolean {
  return crashes >= SUSPECT_CRASHES && score > CLEARED_SCORE;
}

function collectEvidence(
  prompts: readonly InterruptedPrompt[],
  getCompletions: (part: number) => number,
): PartEvidence[] {
  const promptsByPart = new Map<number, InterruptedPrompt[]>();
  for (const prompt of prompts) {
    for (const part of new Set(prompt.parts)) {
      const known = promptsByPart.get(part);
      if (known) known.push(prompt);
      else promptsByPart.set(part, [prompt]);
    }
  }
  return [...promptsByPart].map(([part, withPart]) => {
    const crashes = weighCrashes(withPart);
    const completions = getCompletions(part);
    const score = crashes - completions * COMPLETION_WEIGHT;
    return { part, prompts: withPart, crashes, completions, score };
  });
}

/** Returns the weighted number of crashes. Those of several instances at the same moment count once, and so does each
 * prompt: one that crashes upstreams whenever it is sent says nothing about its parts. */
function weighCrashes(prompts: readonly InterruptedPrompt[]): number {
  const instances = new Map<number, WeightedCrash>();
  let promptWeight = 0;
  for (const { crashes, lastCrashAt } of prompts) {
    let largest = 0;
    for (const [instance, points] of crashes) {
      const weight = WEIGHT_BY_POINTS[points] ?? 0;
      largest = Math.max(largest, weight);
      const known = instances.get(instance);
      instances.set(instance, {
        at: Math.min(known?.at ?? Infinity, lastCrashAt),
        weight: Math.max(known?.weight ?? 0, weight),
      });
    }
    promptWeight += largest;
  }
  return Math.min(weighMoments([...instances.values()]), promptWeight);
}

/** Returns the sum of the weights of crashes, with the largest only for those at the same moment. */
function weighMoments(crashes: readonly WeightedCrash[]): number {
  let sum = 0;
  let momentEndsAt = -Infinity;
  let largest = 0;
  for (const { at, weight } of crashes.toSorted((a, b) => a.at - b.at)) {
    if (at >= momentEndsAt) {
      momentEndsAt = at + MOMENT_MS;
      largest = 0;
    }
    if (weight <= largest) continue;
    sum += weight - largest;
    largest = weight;
  }
  return sum;
}

/** Whether the evidence for a part is enough to hold it. */
function isCause({ crashes, completions, score }: PartEvidence): boolean {
  return score >= CAUSE_THRESHOLD &&
    crashes >= MIN_CRASH_FRACTION * (crashes + completions);
}

/** Returns the part among those with enough evidence whose crashes outnumber its completions by the most. */
function findLikeliest(
  evidence: readonly PartEvidence[],
): PartEvidence | undefined {
  let likeliest: PartEvidence | undefined;
  for (const each of evidence.filter(isCause)) {
    if (!likeliest || compareEvidence(each, likeliest) < 0) likeliest = each;
  }
  return likeliest;
}

/** Orders evidence, the part whose crashes outnumber its completions by the most first. */
function compareEvidence(one: PartEvidence, other: PartEvidence): number {
  return other.crashes - other.completions -
      (one.crashes - one.completions) || one.part - other.part;
}

/** Builds the cause of a part together with those that can't be told from it so far. */
function buildCause(
  { part, prompts, crashes, completions, score }: PartEvidence,
  evidence: readonly PartEvidence[],
): CrashCause {
  const inseparable = evidence.filter((other) =>
    other.score === score &&
    prompts.every(({ parts }) => parts.includes(other.part))
  );
  const parts = [...new Set([part, ...inseparable.map((other) => other.part)])];
  return { parts: parts.sort((a, b) => a - b), crashes, completions };
}

/** Returns the hashes of the crashed instances that had a prompt of a cause in flight. */
function findInstances(
  prompts: readonly InterruptedPrompt[],
  cause: CrashCause,
): number[] {
  return prompts.filter(({ parts }) => isCausedBy(parts, cause)).flatMap(
    ({ crashes }) => crashes.map(([instance]) => instance),
  );
}

function removeCrashes(
  prompts: readonly InterruptedPrompt[],
  instances: ReadonlySet<number>,
): InterruptedPrompt[] {
  return prompts.flatMap(({ parts, crashes, lastCrashAt }) => {
    const rest = crashes.filter(([instance]) => !instances.has(instance));
    return rest.length > 0 ? [{ parts, crashes: rest, lastCrashAt }] : [];
  });
}
