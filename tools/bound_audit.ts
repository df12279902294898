/** Load balance of a pool of engines, computed from their ledgers. */
export interface LoadBoundReport {
  /** Maximum number of requests in flight on one engine. */
  peakInFlight: number;
  /** Number of request starts at which the engine's load exceeded the bound. */
  violations: number;
  /** Number of request starts that were checked. */
  starts: number;
  /** Maximum and 99th percentile of the ratio of requests in flight to the bound, over all starts. */
  worstRatio: number;
  p99Ratio: number;
  /** 99th percentile and maximum of the ratio of the most loaded engine to the mean, over the starts at which the mean
   * was at least `MINIMUM_MEAN`. */
  skewP99: number;
  skewMax: number;
}

/** Load bound that a pool must keep. */
export interface LoadBoundRule {
  multiple: number;
  /** Requests that an engine may have in flight however low the mean is. */
  minimum: number;
  /** Maximum age of the mean that routers may have used, in milliseconds. */
  lagMs: number;
}

/** Mean load below which the ratio to it is not meaningful. */
const MINIMUM_MEAN = 2;

interface LoadChange {
  at: number;
  engine: number;
  load: number;
}

/** Checks at every start of a request whether the engine's load exceeded a multiple of the mean load.
 * @param pool For each engine of the pool, the time and the requests in flight at each change.
 * @param rule Load bound to check. */
export function auditBound(
  pool: readonly (readonly [number, number][])[],
  rule: LoadBoundRule,
): LoadBoundReport {
  const changes: LoadChange[] = pool.flatMap((loads, engine) =>
    loads.map(([at, load]) => ({ at, engine, load }))
  );
  changes.sort((a, b) => a.at - b.at);
  const loads = pool.map(() => 0);
  const recentMeans: { at: number; mean: number }[] = [];
  const ratios: number[] = [];
  const skews: number[] = [];
  let peakInFlight = 0;
  for (const change of changes) {
    const isStart = change.load > loads[change.engine]!;
    loads[change.engine] = change.load;
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    while (
      recentMeans.length > 0 && recentMeans[0]!.at < change.at - rule.lagMs
    ) {
      recentMeans.shift();
    }
    recentMeans.push({ at: change.at, mean });
    peakInFlight = Math.max(peakInFlight, change.load);
    if (!isStart) continue;
    const highestMean = recentMeans.reduce(
      (highest, sample) => Math.max(highest, sample.mean),
      0,
    );
    ratios.push(
      change.load /
        Math.max(rule.minimum, Math.ceil(rule.multiple * highestMean)),
    );
    if (mean >= MINIMUM_MEAN) skews.push(Math.max(...loads) / mean);
  }
  ratios.sort((a, b) => a - b);
  skews.sort((a, b) => a - b);
  return {
    peakInFlight,
    violations: ratios.filter((ratio) => ratio > 1).length,
    starts: ratios.length,
    worstRatio: ratios.at(-1) ?? 0,
    p99Ratio: ratios[Math.floor(ratios.length * 0.99)] ?? 0,
    skewP99: skews[Math.floor(skews.length * 0.99)] ?? 0,
    skewMax: skews.at(-1) ?? 0,
  };
}
