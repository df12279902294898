/** The paths and formats in which a gateway reports its readiness and the addresses to use. An adapter implements them
 * for one platform. */
export interface DiscoveryProtocol {
  /** Path of the platform's readiness check. */
  readinessPath: string;
  /** Path under which callers look up the addresses to use. */
  locatePath: string;
  /** Formats the JSON body of an address list.
   * @param addresses The addresses, each as ip:port.
   * @param ttlMs Time for which callers may cache the list, in milliseconds. */
  formatAddressList(addresses: readonly string[], ttlMs: number): string;
}
