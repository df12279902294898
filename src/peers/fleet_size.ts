/** Number of hosts among which limits of the fleet are divided. While a host cannot tell that it knows all hosts, the
 * last number for which it could still counts, because hosts that it has lost may be running in another partition. */
export class FleetSize {
  private completeHosts: number | undefined;

  private constructor() {}

  /** Creates a size that is not known. */
  static create(): FleetSize {
    return new FleetSize();
  }

  /** Records that the known hosts are likely all hosts of the fleet.
   * @param hosts Their number. */
  recordComplete(hosts: number): void {
    this.completeHosts = hosts;
  }

  /** Returns the number of hosts of the fleet; undefined if this host has never known all of them.
   * @param knownHosts Number of hosts that are known now. */
  get(knownHosts: number): number | undefined {
    if (this.completeHosts === undefined) return undefined;
    return Math.max(this.completeHosts, knownHosts);
  }
}
