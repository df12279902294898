import { readClock } from "../clock/clock.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type {
  UpstreamAccess,
  UpstreamFilter,
} from "./call_forwarder_context.ts";
import type { CallLog } from "./call_log.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { StreamTracker } from "./stream_tracker.ts";

/** Picks the upstreams of a call's attempts, each at most once. */
export class UpstreamPicker {
  private readonly triedIds = new Set<string>();

  private constructor(
    private readonly call: RoutedCall,
    private readonly access: UpstreamAccess,
    private readonly stream: StreamTracker,
    private readonly log: CallLog,
  ) {}

  /** Creates a picker of a call without attempts.
   * @param call The call.
   * @param access Chooses among the upstreams.
   * @param stream Where the call's stream must continue.
   * @param log Logs borrowed slots. */
  static create(
    call: RoutedCall,
    access: UpstreamAccess,
    stream: StreamTracker,
    log: CallLog,
  ): UpstreamPicker {
    return new UpstreamPicker(call, access, stream, log);
  }

  /** Number of upstreams that were chosen for attempts. */
  get attempts(): number {
    return this.triedIds.size;
  }

  /** Records that an attempt is made at an upstream.
   * @param upstream The upstream. */
  recordAttempt(upstream: Upstream): void {
    this.triedIds.add(upstream.id);
  }

  /** Picks the upstream for the next attempt; undefined if none is left. */
  pick(): UpstreamChoice | undefined {
    return this.access.choose(this.call, this.filter);
  }

  /** Borrows a slot from another host and picks an upstream again; resolves with undefined if none was lent. Returns
   * undefined if no host was asked. */
  borrow(): Promise<UpstreamChoice | undefined> | undefined {
    const loan = this.access.borrowSlot(this.call, this.filter);
    return loan && this.pickOnLoan(loan);
  }

  private get filter(): UpstreamFilter {
    const { triedIds, stream: { origin } } = this;
    return { triedIds, origin };
  }

  private async pickOnLoan(
    loan: Promise<boolean>,
  ): Promise<UpstreamChoice | undefined> {
    const requestedAt = readClock();
    const isGranted = await loan;
    this.log.logSlotRequested(isGranted, readClock() - requestedAt);
    return this.pick();
  }
}
