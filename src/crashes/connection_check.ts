import { DialError, type DialFailure } from "../network/dial_error.ts";
import { dialTcp } from "../network/dial_tcp.ts";

/** Result of a check: the address accepts connections, it refuses them because nothing listens there, or the check
 * timed out or failed with another error. */
export type CheckResult = "taken" | "refused" | "undecided";

/** Results by why no connection was established. */
const RESULTS: Readonly<Record<DialFailure, CheckResult>> = {
  refused: "refused",
  timed_out: "undecided",
  failed: "undecided",
};

/** Checks whether something listens at an address, by opening a connection that is closed immediately.
 * @param address The address, as ip:port. */
export async function checkConnection(
  address: string,
): Promise<CheckResult> {
  try {
    (await dialTcp(address)).destroy();
    return "taken";
  } catch (thrown) {
    return toCheckResult(DialError.from(thrown));
  }
}

/** Returns what a connection that was not established shows.
 * @param error Why it was not established. */
export function toCheckResult({ failure }: DialError): CheckResult {
  return RESULTS[failure];
}
