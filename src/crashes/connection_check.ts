import { connect } from "node:net";
import { splitAddress } from "../addresses/split_address.ts";

/** Timeout of a check, in milliseconds: about a hundred times the usual round trip. */
const CHECK_TIMEOUT_MS = 450;

/** Result of a check: the address accepts connections, it refuses them because nothing listens there, or the check
 * timed out or failed with another error. */
export type CheckResult = "taken" | "refused" | "undecided";

/** Checks whether something listens at an address, by opening a connection that is closed immediately.
 * @param address The address, as ip:port. */
export function checkConnection(address: string): Promise<CheckResult> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (result: CheckResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => settle("undecided"), CHECK_TIMEOUT_MS);
    socket.once("connect", () => settle("taken"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        settle(error.code === "ECONNREFUSED" ? "refused" : "undecided"),
    );
  });
}
