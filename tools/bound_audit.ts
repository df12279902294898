/** What the ledgers of a pool say of its balance. */
export interface BoundReport {
  /** Greatest number in flight on one engine. */
  peak: number;
  /** Starts at which an engine carried more than allowed. */
  violations: number;
  /** Starts that were looked at. */
  starts: number;
  /** Greatest and 99th percentile of in flight over allowed, over all starts. */
  worst: number;
  p99: number;
  /** 99th percentile of in flight over the mean, where the mean is at least `minimumMean`. */
  skewP99: number;
  skewMax: number;
}

/** Rule that a pool is held to. */
export interface BoundRule {
  multiple: number;
  /** Requests an engine may carry however low the mean is. */
  minimum: number;
  /** Time by which the mean may be known late. */
  lagMs: number;
}

/** Mean below which the ratio to it says little. */
const MINIMUM_MEAN = 2;

interface Change {
  at: number;
  engine: number;
  load: number;
}

/** Judges from engines' ledgers whether any carried more than a multiple of the mean, at every start of a request.
 * @param pool For each engine of a pool, its requests in flight at each change.
 * @param rule The rule. */
export function auditBound(
  pool: readonly (readonly [number, number][])[],
  rule: BoundRule,
): BoundReport {
  const changes: Change[] = pool.flatMap((loads, engine) =>
    loads.map(([at, load]) => ({ at, engine, load }))
  );
  changes.sort((a, b) => a.at - b.at);
  const loads = pool.map(() => 0);
  const means: { at: number; mean: number }[] = [];
  const parts: number[] = [];
  const skews: number[] = [];
  let peak = 0;
  for (const change of changes) {
    const isStart = change.load > loads[change.engine]!;
    loads[change.engine] = change.load;
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    while (means.length > 0 && means[0]!.at < change.at - rule.lagMs) {
      means.shift();
    }
    means.push({ at: change.at, mean });
    peak = Math.max(peak, change.load);
    if (!isStart) continue;
    const highestMean = means.reduce(
      (highest, sample) => Math.max(highest, sample.mean),
      0,
    );
    parts.push(
      change.load /
        Math.max(rule.minimum, Math.ceil(rule.multiple * highestMean)),
    );
    if (mean >= MINIMUM_MEAN) skews.push(Math.max(...loads) / mean);
  }
  parts.sort((a, b) => a - b);
  skews.sort((a, b) => a - b);
  return {
    peak,
    violations: parts.filter((part) => part > 1).length,
    starts: parts.length,
    worst: parts.at(-1) ?? 0,
    p99: parts[Math.floor(parts.length * 0.99)] ?? 0,
    skewP99: skews[Math.floor(skews.length * 0.99)] ?? 0,
    skewMax: skews.at(-1) ?? 0,
  };
}
