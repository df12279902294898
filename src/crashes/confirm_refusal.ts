import type { CheckResult } from "./connection_check.ts";

/** Time after which a refused connection is attempted again, in milliseconds: paths are not all lost or restored at the
 * same moment. */
const CONFIRMATION_DELAY_MS = 20;

/** Dependencies of {@link confirmRefusal}. */
export interface RefusalChecks {
  /** Checks the address in question, in all ways that this host knows. */
  check: () => Promise<CheckResult>;
  /** Checks over this host's own paths whether it can connect to some other upstreams; empty if there are none. */
  checkOthers: readonly (() => Promise<CheckResult>)[];
  /** Resolves after a delay. */
  wait: (durationMs: number) => Promise<void>;
}

/** Checks whether nothing listens at the address of an upstream. A refused connection alone does not show that: this host
 * may have lost its path. It counts only if the connection is refused again after this host has connected to another
 * upstream.
 * @param checks The checks to run. */
export async function confirmRefusal(
  { check, checkOthers, wait }: RefusalChecks,
): Promise<CheckResult> {
  const result = await check();
  if (result !== "refused") return result;
  const others = await Promise.all(
    checkOthers.map((checkOther) => checkOther()),
  );
  const hasPaths = others.length === 0 || others.includes("taken");
  if (!hasPaths) return "undecided";
  await wait(CONFIRMATION_DELAY_MS);
  return await check();
}
