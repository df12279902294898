/** How callers and the platform ask a gateway about itself; an adapter implements it for one platform. */
export interface CallerSurface {
  /** Path under which the platform asks whether the host is ready. */
  readinessPath: string;
  /** Path under which callers ask which addresses to use. */
  locatePath: string;
  /** Writes the JSON body of an answer with addresses.
   * @param addresses The addresses, each as ip:port.
   * @param lifetimeMs Time for which callers may keep them, in milliseconds. */
  writeAddresses(addresses: readonly string[], lifetimeMs: number): string;
}
