/** Splits an address into the host and port that Node's sockets and servers expect.
 * @param address The address, as ip:port. */
export function splitAddress(address: string): { host: string; port: number } {
  const [host, port] = address.split(":");
  return { host: host!, port: Number(port) };
}
