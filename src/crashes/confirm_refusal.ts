import type { CheckResult } from "./connection_check.ts";

/** Time after which a refused connection is attempted again, in milliseconds: paths are not all lost or restored at the
 * same moment. */
const CONFIRMATION_DELAY_MS = 20;
/** Maximum number of other upstreams that are tried to learn whether this host has paths at all. */
const MAX_OTHERS = 4;

/** Dependencies of {@link confirmRefusal}. */
export interface RefusalChecks<Upstream> {
  /** Checks the address in question, in all ways that this host knows. */
  check: () => Promise<CheckResult>;
  /** The other upstreams, in the order in which they are tried. */
  others: readonly Upstream[];
  /** Checks whether this host can connect to another upstream over its own path. */
  checkOther: (other: Upstream) => Promise<CheckResult>;
  /** Resolves after a delay. */
  wait: (durationMs: number) => Promise<void>;
}

/** Checks whether nothing listens at the address of an upstream. A refused connection alone does not show that: this host
 * may have lost its path. It counts only if the connection is refused again after this host has connected to another
 * upstream, where there is one.
 * @param checks The checks to run. */
export async function confirmRefusal<Upstream>(
  { check, others, checkOther, wait }: RefusalChecks<Upstream>,
): Promise<CheckResult> {
  const result = await check();
  if (result !== "refused") return result;
  const tried = others.slice(0, MAX_OTHERS);
  const results = await Promise.all(tried.map(checkOther));
  const hasPaths = tried.length === 0 || results.includes("taken");
  if (!hasPaths) return "undecided";
  await wait(CONFIRMATION_DELAY_MS);
  return await check();
}
