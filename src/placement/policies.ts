import type { Random } from "../random/random.ts";

/** Input of a policy for ordering candidates. */
export interface PolicyContext {
  random: Random;
  /** Returns the last reported load of an upstream, or 0. */
  getLoad: (upstreamId: string) => number;
}

/** Policy for the order in which candidates are tried. */
export interface Policy {
  /** Whether the owner limits the load of upstreams to a multiple of the mean. */
  isBounded: boolean;
  /** Orders the candidates, which are given in the order of the chat's key. */
  order: (
    candidates: readonly string[],
    context: PolicyContext,
  ) => readonly string[];
}

function orderByLoad(
  candidates: readonly string[],
  context: PolicyContext,
): string[] {
  const loads = new Map(candidates.map((id) => [id, context.getLoad(id)]));
  return context.random.shuffle(candidates).sort((a, b) =>
    loads.get(a)! - loads.get(b)!
  );
}

function orderByPowerOfTwo(
  candidates: readonly string[],
  context: PolicyContext,
): string[] {
  const shuffled = context.random.shuffle(candidates);
  const [first, second, ...others] = shuffled;
  if (!first || !second) return shuffled;
  const isFirstBetter = context.getLoad(first) <= context.getLoad(second);
  return isFirstBetter
    ? [first, second, ...others]
    : [second, first, ...others];
}

/** Policies by name; all but `bounded` are baselines for benchmarks. */
export const POLICIES = {
  bounded: { isBounded: true, order: (candidates) => candidates },
  rendezvous: { isBounded: false, order: (candidates) => candidates },
  random: {
    isBounded: false,
    order: (candidates, context) => context.random.shuffle(candidates),
  },
  least_loaded: { isBounded: false, order: orderByLoad },
  power_of_two: { isBounded: false, order: orderByPowerOfTwo },
} as const satisfies Record<string, Policy>;

/** Name of a policy. */
export type PolicyName = keyof typeof POLICIES;
