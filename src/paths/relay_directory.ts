import { SMALL_FLEET_MAX_HOSTS } from "../peers/host_table.ts";
import type { Random } from "../random/random.ts";
import type { PathTarget } from "./path_target.ts";
import type { RelayHost } from "./relay_host.ts";

/** Time for which a host that did not relay to an upstream is not asked again for it, in milliseconds; about as long
 * as a change of its paths takes to become known. */
const REFUSAL_TTL_MS = 1_000;
/** Time for which a report that a host hears from an upstream counts, in milliseconds. */
const HEARD_TTL_MS = 3_000;

/** Minimum time between two repeated checks of a lost path in which hosts of a large fleet are asked although none has
 * reported to hear from the upstream, in milliseconds. Such reports may be lost, but a large fleet that asked at each
 * check would spend much of its time on upstreams that nobody reaches. */
const UNREPORTED_RECHECK_INTERVAL_MS = 4_000;

/** Dependencies of a {@link RelayDirectory}. */
export interface RelayDirectoryOptions {
  /** Hall of this host. */
  hall: string;
  /** Returns the live hosts that take requests. */
  getHosts: () => readonly RelayHost[];
  random: Random;
}

/** Chooses the hosts that are asked to relay connections to an upstream. */
export class RelayDirectory {
  /** By host id and instance hash, the monotonic milliseconds of the last refusal. */
  private readonly refusals = new Map<string, number>();
  /** By instance hash, the last report of a host that hears from the upstream. */
  private readonly lastHeardBy = new Map<
    number,
    { reporter: number; at: number }
  >();

  /** By instance hash, the monotonic milliseconds of the last repeated check in which hosts were asked. */
  private readonly askedAt = new Map<number, number>();

  private constructor(private readonly options: RelayDirectoryOptions) {}

  /** Creates a directory without recorded refusals.
   * @param options Its dependencies. */
  static create(options: RelayDirectoryOptions): RelayDirectory {
    return new RelayDirectory(options);
  }

  /** Returns the host to ask next: preferably the one that last reported to hear from the upstream, then one with paths to
   * every service, then one of this hall; undefined if none is left.
   * @param target The upstream.
   * @param asked Ids of the hosts that were asked already.
   * @param now Monotonic milliseconds. */
  choose(
    target: PathTarget,
    asked: ReadonlySet<string>,
    now: number,
  ): RelayHost | undefined {
    const { random, getHosts } = this.options;
    this.removeExpired(now);
    const left = getHosts().filter(({ id }) =>
      !asked.has(id) && !this.refusals.has(formatKey(id, target))
    );
    const reporter = this.lastHeardBy.get(target.instanceHash)?.reporter;
    const getRank = (host: RelayHost) => this.rank(host, reporter);
    const bestRank = Math.min(...left.map(getRank));
    const best = left.filter((host) => getRank(host) === bestRank);
    return best.length > 0 ? random.pick(best) : undefined;
  }

  /** Returns whether hosts are asked in a repeated check of a lost path, and records that they are: always in a small
   * fleet; in a large one if a host has reported to hear from the upstream, and otherwise now and then.
   * @param target The upstream.
   * @param now Monotonic milliseconds. */
  admitsRecheck({ instanceHash }: PathTarget, now: number): boolean {
    if (this.options.getHosts().length <= SMALL_FLEET_MAX_HOSTS) return true;
    this.removeExpired(now);
    const isDue = now - (this.askedAt.get(instanceHash) ?? -Infinity) >=
      UNREPORTED_RECHECK_INTERVAL_MS;
    const isAdmitted = isDue || this.lastHeardBy.has(instanceHash);
    if (isAdmitted) this.askedAt.set(instanceHash, now);
    return isAdmitted;
  }

  /** Forgets an upstream that is no longer listed.
   * @param instanceHash Hash of the instance. */
  forget(instanceHash: number): void {
    this.askedAt.delete(instanceHash);
  }

  /** Whether a host may still relay connections that were opened through it.
   * @param id Id of the host. */
  isUsable(id: string): boolean {
    return this.options.getHosts().some((host) => host.id === id);
  }

  /** Records that a host did not relay to an upstream.
   * @param host The host.
   * @param target The upstream.
   * @param now Monotonic milliseconds. */
  recordRefusal(host: RelayHost, target: PathTarget, now: number): void {
    this.refusals.set(formatKey(host.id, target), now);
  }

  /** Records that a host hears from an upstream.
   * @param instanceHash Hash of the upstream instance.
   * @param reporter Hash that identifies the host.
   * @param now Monotonic milliseconds. */
  recordHeardElsewhere(
    instanceHash: number,
    reporter: number,
    now: number,
  ): void {
    this.lastHeardBy.set(instanceHash, { reporter, at: now });
  }

  private rank(host: RelayHost, reporter: number | undefined): number {
    if (host.name === reporter) return 0;
    const hallRank = host.hall === this.options.hall ? 1 : 2;
    return host.isPartitioned ? hallRank + 2 : hallRank;
  }

  private removeExpired(now: number): void {
    for (const [key, at] of this.refusals) {
      if (now - at > REFUSAL_TTL_MS) this.refusals.delete(key);
    }
    for (const [instanceHash, { at }] of this.lastHeardBy) {
      if (now - at > HEARD_TTL_MS) this.lastHeardBy.delete(instanceHash);
    }
  }
}

function formatKey(hostId: string, { instanceHash }: PathTarget): string {
  return `${hostId} ${instanceHash}`;
}
