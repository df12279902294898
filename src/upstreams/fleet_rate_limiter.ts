import type { FleetSlots } from "./fleet_slots.ts";

/** Minimum interval between two requests of one slot, in milliseconds. */
const MIN_SLOT_INTERVAL_MS = 1_000;
/** Time after the last request after which it is forgotten, in milliseconds. */
const SENT_RETENTION_MS = 10_000;

/** Limits the rate of the fleet's requests to single upstreams, such as those that are warming up after a start. The
 * permitted rate is divided into slots of one request per second. */
export class FleetRateLimiter {
  /** By key, the monotonic milliseconds of this host's recent requests. */
  private readonly sentAt = new Map<string, number[]>();

  private constructor(
    private readonly slots: FleetSlots,
    private readonly minSlotIntervalMs: number,
  ) {}

  /** Creates a limiter.
   * @param slots Distributes the slots among the hosts.
   * @param minSlotIntervalMs Minimum interval between two requests of one slot, in milliseconds. */
  static create(
    slots: FleetSlots,
    minSlotIntervalMs = MIN_SLOT_INTERVAL_MS,
  ): FleetRateLimiter {
    return new FleetRateLimiter(slots, minSlotIntervalMs);
  }

  /** Whether this host may send a request now.
   * @param key Key of the rate, such as the id of an upstream.
   * @param requestsPerSecond Permitted rate of the fleet.
   * @param now Monotonic milliseconds. */
  admits(key: string, requestsPerSecond: number, now: number): boolean {
    const total = Math.max(1, Math.floor(requestsPerSecond));
    // Longer than the minimum for rates below one per second.
    const intervalMs = Math.max(
      this.minSlotIntervalMs,
      1_000 * total / requestsPerSecond,
    );
    const recent = (this.sentAt.get(key) ?? []).filter((at) =>
      now - at < intervalMs
    );
    return recent.length < this.slots.countOwn(key, total, now);
  }

  /** Records that a request whose rate is limited is sent.
   * @param key Key of the rate.
   * @param now Monotonic milliseconds. */
  recordSend(key: string, now: number): void {
    this.sentAt.set(key, [...this.sentAt.get(key) ?? [], now]);
    for (const [each, times] of this.sentAt) {
      const recent = times.filter((at) => now - at < SENT_RETENTION_MS);
      if (recent.length === 0) this.sentAt.delete(each);
      else this.sentAt.set(each, recent);
    }
  }
}
