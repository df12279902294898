/** Host and port of an address, as Node's sockets and servers take them.
 * @param address The address, as ip:port. */
export function splitAddress(address: string): { host: string; port: number } {
  const [host, port] = address.split(":");
  return { host: host!, port: Number(port) };
}
