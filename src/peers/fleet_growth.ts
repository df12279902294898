/** Time without notable growth after which the known hosts are taken for the whole fleet, in milliseconds: several times
 * as long as a host table takes to reach a host that has started. */
const SETTLE_MS = 1_000;
/** Growth within that time that still counts as settled, as a fraction of the known hosts. */
const MAX_GROWTH_FRACTION = 0.1;

/** Number of known hosts at one moment. */
interface HostCountSample {
  hosts: number;
  /** Monotonic milliseconds. */
  at: number;
}

/** Tells whether this host has discovered the fleet. Shares of a fleet-wide limit that are computed from a part of the
 * hosts are too large. A host that has discovered the fleet counts those that join as it learns of them, and they claim
 * no shares until they have discovered it. */
export class FleetGrowth {
  private samples: HostCountSample[] = [];
  private hasSettled = false;

  private constructor(private readonly expectsOthers: () => boolean) {}

  /** Creates a record without samples, which is not settled.
   * @param expectsOthers Whether there should be other hosts; then a host that knows none is not settled. */
  static create(expectsOthers: () => boolean): FleetGrowth {
    return new FleetGrowth(expectsOthers);
  }

  /** Records the number of known hosts.
   * @param hosts Number of other hosts that are known.
   * @param now Monotonic milliseconds. */
  record(hosts: number, now: number): void {
    this.samples.push({ hosts, at: now });
    while (this.samples.length > 1 && now - this.samples[1]!.at >= SETTLE_MS) {
      this.samples.shift();
    }
    this.hasSettled ||= this.isSettled(hosts, now);
  }

  /** Whether the fleet is known: at some time since the start the number of known hosts did not grow notably for a while.
   * @param hosts Number of other hosts that are known now.
   * @param now Monotonic milliseconds. */
  isSettled(hosts: number, now: number): boolean {
    if (hosts === 0) return !this.expectsOthers() && this.isSteady(hosts, now);
    return this.hasSettled || this.isSteady(hosts, now);
  }

  private isSteady(hosts: number, now: number): boolean {
    const [oldest] = this.samples;
    if (!oldest || now - oldest.at < SETTLE_MS) return false;
    return hosts - oldest.hosts <= hosts * MAX_GROWTH_FRACTION;
  }
}
