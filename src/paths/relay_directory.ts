import type { Random } from "../random/random.ts";
import type { PathTarget } from "./path_target.ts";
import type { RelayHost } from "./relay_host.ts";

/** Time for which a host that did not relay to an upstream is not asked again for it, in milliseconds; about as long
 * as a change of its paths takes to become known. */
const REFUSAL_TTL_MS = 1_000;
/** Time for which a report that a host hears from an upstream counts, in milliseconds. */
const HEARD_TTL_MS = 3_000;

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
