import { DialError, type DialFailure } from "../network/dial_error.ts";
import { type Dial, dialTcp } from "../network/dial_tcp.ts";

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
 * @param address The address, as ip:port.
 * @param dial Establishes the connection. */
export async function checkConnection(
  address: string,
  dial: Dial = dialTcp,
): Promise<CheckResult> {
  try {
    (await dial(address)).destroy();
    return "taken";
  } catch (thrown) {
    return RESULTS[DialError.from(thrown).failure];
  }
}
