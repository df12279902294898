import { connect, type Socket } from "node:net";
import { splitAddress } from "../addresses/split_address.ts";
import { DialError } from "./dial_error.ts";

/** Timeout for establishing a connection, in milliseconds; about a hundred usual round-trip times. */
export const CONNECT_TIMEOUT_MS = 450;
/** Idle time after which the operating system starts TCP keepalive probes, in milliseconds. */
export const KEEPALIVE_PROBE_DELAY_MS = 1_000;

/** Establishes a connection to an address, given as ip:port; rejects with a {@link DialError}. */
export type Dial = (address: string) => Promise<Socket>;

/** Establishes a TCP connection.
 * @param address The address, as ip:port.
 * @throws DialError if it is not established in time. */
export const dialTcp: Dial = (address) => {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEPALIVE_PROBE_DELAY_MS,
    });
    const fail = (error: DialError) => {
      clearTimeout(timer);
      socket.destroy();
      reject(error);
    };
    const timer = setTimeout(
      () => fail(DialError.create("timed_out", `no connection to ${address}`)),
      CONNECT_TIMEOUT_MS,
    );
    const handleError = (error: NodeJS.ErrnoException) =>
      fail(DialError.create(
        error.code === "ECONNREFUSED" ? "refused" : "failed",
        error.message,
      ));
    socket.once("error", handleError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", handleError);
      resolve(socket);
    });
  });
};
