import { connect } from "node:net";
import { splitAddress } from "../addresses/split_address.ts";

/** Time after which a check is undecided, in milliseconds: some hundred times the usual way there and back. */
const CHECK_TIMEOUT_MS = 450;

/** What a check found: the address takes connections, nothing listens there, or nothing was heard of it. */
export type CheckResult = "taken" | "refused" | "undecided";

/** Finds out whether something listens at an address, by a connection that is closed at once.
 * @param address The address, as ip:port. */
export function checkConnection(address: string): Promise<CheckResult> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (result: CheckResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => finish("undecided"), CHECK_TIMEOUT_MS);
    socket.once("connect", () => finish("taken"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "refused" : "undecided"),
    );
  });
}
