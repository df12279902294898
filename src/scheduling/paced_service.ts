import type { Upstream } from "../upstreams/upstream.ts";
import type { PaceCause, PaceChange } from "./pace_change.ts";
import {
  carriesShare,
  type PaceAnswer,
  type PaceLoad,
  RecoveryPace,
} from "./recovery_pace.ts";

/** Age up to which an instance that this host sees for the first time counts as just started, in milliseconds. */
const RECENT_START_MS = 10_000;
/** Fraction of their slots up to which the upstreams that are not paced take what paced ones do not get. */
const ROOM_FRACTION = 0.85;
/** Time for which an absent instance is remembered, in milliseconds. */
const ABSENT_RETENTION_MS = 60_000;
/** Interval at which instances are forgotten, in milliseconds. */
const CLEANUP_INTERVAL_MS = 10_000;

/** Times at which a decision is made. */
export interface PaceTime {
  /** Monotonic milliseconds. */
  now: number;
  /** Unix milliseconds. */
  unixNow: number;
}

/** Dependencies of a {@link PacedService}. */
export interface PacedServiceOptions {
  /** Returns the requests of all hosts on an upstream. */
  getRequests: (upstream: Upstream, now: number) => number;
  /** Number of live hosts, including this one. */
  countHosts: () => number;
  /** Called with each change of a pace. */
  onChange: (upstream: Upstream, change: PaceChange) => void;
}

/** What a host remembers of one instance of an upstream. */
interface InstanceRecord {
  /** Round in which the instance was last present. */
  round: number;
  /** Monotonic milliseconds of that round. */
  presentAt: number;
  pace: RecoveryPace | undefined;
  /** Pace that was last passed to `onChange`. */
  announced: number;
  /** Strain of the last answer within the pace. */
  strain: number | undefined;
}

/** The paces of one service's upstreams. An instance is paced if it has just started, or if it was absent in an earlier
 * round: ejected, crashed, evacuated, lapsed or out of reach. */
export class PacedService {
  /** Mean requests on the upstreams that are not paced. */
  peerRequests = 0;
  /** Permitted requests in flight on each paced upstream, without which the requests of the fleet would not fit into the
   * slots of the others. */
  minLimit = 0;
  private readonly records = new Map<number, InstanceRecord>();
  private round = 0;
  private cleanedUpAt = -Infinity;
  private pacedCount = 0;

  private constructor(private readonly options: PacedServiceOptions) {}

  /** Creates the paces of a service.
   * @param options Its dependencies. */
  static create(options: PacedServiceOptions): PacedService {
    return new PacedService(options);
  }

  /** Number of upstreams that are paced. */
  get count(): number {
    return this.pacedCount;
  }

  /** Returns the pace of an upstream; undefined if it is not paced.
   * @param upstream The upstream. */
  find({ instanceHash }: Upstream): RecoveryPace | undefined {
    return this.records.get(instanceHash)?.pace;
  }

  /** Compares the present upstreams with those of the round before, and lets the paces follow the load.
   * @param upstreams The upstreams that could get requests, apart from backoffs.
   * @param time The present time. */
  observe(upstreams: readonly Upstream[], time: PaceTime): void {
    this.round += 1;
    this.pacedCount = 0;
    for (const upstream of upstreams) {
      if (upstream.health.isEjected(time.now)) continue;
      const record = this.updateRecord(upstream, upstreams, time);
      if (record.pace) this.pacedCount += 1;
    }
    this.removeAbsent(time.now);
    if (this.pacedCount > 0) this.followLoad(upstreams, time.now);
  }

  /** Records an answer of an upstream that is paced.
   * @param upstream The upstream.
   * @param answer The answer.
   * @param now Monotonic milliseconds. */
  recordAnswer(upstream: Upstream, answer: PaceAnswer, now: number): void {
    const record = this.records.get(upstream.instanceHash);
    if (record === undefined) return;
    record.strain = answer.strain;
    record.pace?.recordAnswer(answer, now);
  }

  private updateRecord(
    upstream: Upstream,
    all: readonly Upstream[],
    time: PaceTime,
  ): InstanceRecord {
    const known = this.records.get(upstream.instanceHash);
    if (known) {
      const wasAbsent = known.round !== this.round - 1;
      if (wasAbsent && !this.isUsedElsewhere(upstream, all, time.now)) {
        this.start(upstream, known, "recovered", time.now);
      }
      known.round = this.round;
      known.presentAt = time.now;
      return known;
    }
    const record: InstanceRecord = {
      round: this.round,
      presentAt: time.now,
      pace: undefined,
      announced: 0,
      strain: undefined,
    };
    this.records.set(upstream.instanceHash, record);
    if (this.isRecentStart(upstream, time)) {
      this.start(upstream, record, "started", time.now);
    }
    return record;
  }

  /** Whether an instance that was not seen before has just started. If that is not published, those of the first round
   * count as old: the host itself has just started. */
  private isRecentStart(
    { published: { startedAt } }: Upstream,
    { unixNow }: PaceTime,
  ): boolean {
    return startedAt === undefined
      ? this.round > 1
      : unixNow - startedAt < RECENT_START_MS;
  }

  /** Whether the other hosts use an upstream as they do the rest, so that only this host had lost it. */
  private isUsedElsewhere(
    upstream: Upstream,
    all: readonly Upstream[],
    now: number,
  ): boolean {
    const { getRequests } = this.options;
    const sum = all.reduce((total, each) => total + getRequests(each, now), 0);
    return carriesShare(getRequests(upstream, now), sum / all.length);
  }

  private start(
    upstream: Upstream,
    record: InstanceRecord,
    cause: PaceCause,
    now: number,
  ): void {
    record.pace = RecoveryPace.create(now);
    record.announced = record.pace.limit;
    record.strain = undefined;
    const { limit } = record.pace;
    this.options.onChange(upstream, { type: "started", cause, limit });
  }

  private removeAbsent(now: number): void {
    if (now - this.cleanedUpAt < CLEANUP_INTERVAL_MS) return;
    this.cleanedUpAt = now;
    for (const [hash, { presentAt }] of this.records) {
      if (now - presentAt > ABSENT_RETENTION_MS) this.records.delete(hash);
    }
  }

  private followLoad(upstreams: readonly Upstream[], now: number): void {
    const { getRequests, countHosts } = this.options;
    const paced: [Upstream, InstanceRecord][] = [];
    let [peers, peerSum, peerSlots, own] = [0, 0, 0, 0];
    for (const upstream of upstreams) {
      const record = this.records.get(upstream.instanceHash);
      own += upstream.ownRequests;
      if (record === undefined || record.round !== this.round) continue;
      if (record.pace) paced.push([upstream, record]);
      else {
        peers += 1;
        peerSum += getRequests(upstream, now);
        peerSlots += upstream.published.slots;
      }
    }
    this.peerRequests = peers === 0 ? 0 : peerSum / peers;
    const requests = paced.map(([upstream]) => getRequests(upstream, now));
    const sum = requests.reduce((total, each) => total + each, peerSum);
    this.minLimit = Math.ceil((sum - ROOM_FRACTION * peerSlots) / paced.length);
    const hosts = countHosts();
    for (const [index, [upstream, record]] of paced.entries()) {
      this.follow(upstream, record, {
        requests: requests[index]!,
        peerRequests: this.peerRequests,
        demand: Math.min(1, own),
        hosts,
      }, now);
    }
  }

  private follow(
    upstream: Upstream,
    record: InstanceRecord,
    load: PaceLoad,
    now: number,
  ): void {
    const { onChange } = this.options;
    const pace = record.pace!;
    const reason = pace.observe(load, now);
    const { limit } = pace;
    if (reason) {
      record.pace = undefined;
      this.pacedCount -= 1;
      const durationMs = pace.getAgeMs(now);
      onChange(upstream, { type: "ended", reason, limit, durationMs });
    } else if (limit !== record.announced) {
      const { announced: before, strain } = record;
      const { requests, peerRequests } = load;
      record.announced = limit;
      onChange(upstream, {
        type: "changed",
        limit,
        before,
        requests,
        peerRequests,
        strain,
      });
    }
  }
}
