import { StaggeredRace } from "../clock/staggered_race.ts";
import { processTimeline, type Timeline } from "../clock/timeline.ts";
import { formatAge } from "../logging/format_age.ts";
import type { Logger } from "../logging/logger.ts";
import { DialError } from "../network/dial_error.ts";
import type { Dial } from "../network/dial_tcp.ts";
import {
  type CheckResult,
  toCheckResult,
} from "../crashes/connection_check.ts";
import { confirmRefusal } from "../crashes/confirm_refusal.ts";
import type { Random } from "../random/random.ts";
import type { PathConnection } from "./path_connection.ts";
import type { PathTarget } from "./path_target.ts";
import { hearsFromOthers } from "./hears_from_others.ts";
import { ConnectionAttempts } from "./connection_attempts.ts";
import { RecheckSchedule } from "./recheck_schedule.ts";
import type { RelayDirectory } from "./relay_directory.ts";
import type { RelayHost } from "./relay_host.ts";
import type { PathState } from "./upstream_path.ts";

/** Time after the start of a connection until another way is tried as well, in milliseconds; tens of usual round-trip
 * times, so that a healthy connection is seldom attempted twice. */
const STAGGER_MS = 120;
/** Time within which one of the ways must be established, in milliseconds. */
const RACE_TIMEOUT_MS = 600;
/** Maximum number of hosts that are asked to relay the connection for a request or for the check of a crash. */
const MAX_RELAYS = 4;
/** Maximum number of hosts that are asked to relay the connection for any other check: when many upstreams fail, all
 * hosts check all of them. */
const MAX_CHECK_RELAYS = 2;
/** Minimum time between two checks of the same path, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 500;
/** Maximum number of checks at a time. */
const MAX_CONCURRENT_CHECKS = 16;
/** Time without bytes of an upstream after which its path is checked if another one was lost, in milliseconds. */
const RECENTLY_HEARD_MS = 100;

/** Dependencies and callbacks of a {@link PathMonitor}. */
export interface PathMonitorOptions {
  logger: Logger;
  /** Establishes connections of this host. */
  dial: Dial;
  /** Opens a connection to an upstream through another host. */
  openTunnel: (
    relay: RelayHost,
    target: PathTarget,
  ) => Promise<PathConnection["socket"]>;
  relays: RelayDirectory;
  random: Random;
  /** Returns all upstreams. */
  getTargets: () => Iterable<PathTarget>;
  /** Whether several hosts could not connect to an upstream, neither over their own paths nor through others, and none has
   * heard from it since. */
  isReportedOut: (target: PathTarget) => boolean;
  /** Called when the state of a path has changed. */
  onChange: (target: PathTarget, state: PathState) => void;
  /** Called when neither this host nor the first other one could connect at once. */
  onDoubt: (target: PathTarget) => void;
  /** Called each time a lost path is checked; hosts that relayed connections to the upstream may have left since. */
  onRecheck: (target: PathTarget) => void;
  /** Defaults to the timeline of the process. */
  timeline?: Timeline;
}

/** Connects to upstreams and keeps track of the paths to them. Where a connection of this host is not established at
 * once, it is attempted through other hosts as well: if one succeeds, this host has lost its path, and the upstream is
 * not at fault. A lost path is checked with connections that carry no requests until it is back. */
export class PathMonitor {
  private readonly timeline: Timeline;
  private readonly checks = new Map<number, Promise<boolean>>();
  private readonly checkedAt = new Map<number, number>();
  private readonly rechecks: RecheckSchedule;
  /** Monotonic milliseconds at which a path was last found lost while another host reached the upstream. */
  private partitionedAt = -Infinity;
  /** By instance hash, the monotonic milliseconds at which a direct path was last established. */
  private readonly establishedAt = new Map<number, number>();

  private constructor(private readonly options: PathMonitorOptions) {
    this.timeline = options.timeline ?? processTimeline;
    this.rechecks = RecheckSchedule.create(
      this.timeline,
      (target) => void this.recheck(target),
    );
  }

  /** Creates a monitor that assumes all paths to be direct.
   * @param options Its dependencies and callbacks. */
  static create(options: PathMonitorOptions): PathMonitor {
    return new PathMonitor(options);
  }

  /** Connects to an upstream, by the way that is expected to work first.
   * @param target The upstream.
   * @param maxRelays Maximum number of hosts that are asked to relay the connection.
   * @param asksAll Whether as many are asked even if the upstream is likely down, to prove that none reaches it; otherwise
   * only one is then.
   * @throws DialError if no way is established in time: why this host could not connect, if that is known. */
  async connect(
    target: PathTarget,
    maxRelays = MAX_RELAYS,
    asksAll = false,
  ): Promise<PathConnection> {
    const attempts = this.createAttempts(target, maxRelays, asksAll);
    try {
      const connection = await StaggeredRace.run({
        getNextAttempt: () => attempts.getNext(),
        staggerMs: STAGGER_MS,
        timeoutMs: RACE_TIMEOUT_MS,
        createTimeoutError: () =>
          DialError.create("timed_out", "no path in time"),
        onLateResult: (late) => this.handleLateConnection(target, late),
        timeline: this.timeline,
      });
      if (connection.relayId !== undefined) this.change(target, "relayed");
      return connection;
    } catch (thrown) {
      this.change(target, "unreachable");
      throw DialError.from(attempts.directError ?? thrown);
    }
  }

  /** Checks the path to an upstream, unless that was done just now; returns whether a connection of this host was
   * established.
   * @param target The upstream. */
  async check(target: PathTarget): Promise<boolean> {
    const { instanceHash } = target;
    const running = this.checks.get(instanceHash);
    if (running) return await running;
    const now = this.timeline.read();
    const checkedAt = this.checkedAt.get(instanceHash) ?? -Infinity;
    const isBusy = this.checks.size >= MAX_CONCURRENT_CHECKS;
    if (isBusy || now - checkedAt < MIN_CHECK_INTERVAL_MS) return false;
    this.checkedAt.set(instanceHash, now);
    const check = this.tryAllWays(target, this.getCheckRelays(target))
      .then(() => this.getEstablishedAt(target) >= now)
      .finally(() => this.checks.delete(instanceHash));
    this.checks.set(instanceHash, check);
    return await check;
  }

  /** Checks whether an upstream has crashed, so that nothing listens at its address: no other host that was asked can
   * connect to it, while this host has paths to other upstreams.
   * @param target The upstream. */
  async checkCrash(target: PathTarget): Promise<CheckResult> {
    return await confirmRefusal({
      check: () => this.tryAllWays(target, MAX_RELAYS, true),
      others: this.options.random.shuffle(
        [...this.options.getTargets()].filter((other) => other !== target),
      ),
      checkOther: (other) => this.tryDirectly(other),
      wait: (durationMs) =>
        new Promise((resolve) => {
          this.timeline.after(durationMs, resolve);
        }),
    });
  }

  /** Records that another host hears from an upstream; if it is unreachable, that host is asked to relay at once.
   * @param target The upstream.
   * @param reporter Hash that identifies the other host. */
  recordHeardElsewhere(target: PathTarget, reporter: number): void {
    const { instanceHash, path } = target;
    this.options.relays.recordHeardElsewhere(
      instanceHash,
      reporter,
      this.timeline.read(),
    );
    if (path.isUnreachable) this.rechecks.expedite(target);
  }

  /** Whether an idle connection to an upstream can be expected to be alive. A connection of this host cannot if this
   * host has lost another path since it last heard from the upstream.
   * @param target The upstream.
   * @param relayId Id of the host that relays the connection; undefined if none does. */
  isTrusted(target: PathTarget, relayId: string | undefined): boolean {
    if (relayId !== undefined) {
      return !target.path.isDirect && this.options.relays.isUsable(relayId);
    }
    if (!target.path.isDirect) return false;
    const lastContactAt = Math.max(
      target.lastReceivedAt,
      this.getEstablishedAt(target),
    );
    return lastContactAt > this.partitionedAt;
  }

  /** Forgets an upstream that is no longer listed.
   * @param target The upstream. */
  remove({ instanceHash }: PathTarget): void {
    this.rechecks.cancel(instanceHash);
    this.options.relays.forget(instanceHash);
    this.checkedAt.delete(instanceHash);
    this.establishedAt.delete(instanceHash);
  }

  /** Ends all checks. */
  close(): void {
    this.rechecks.close();
  }

  private createAttempts(
    target: PathTarget,
    maxRelays: number,
    asksAll: boolean,
  ): ConnectionAttempts {
    const { relays, onDoubt } = this.options;
    return ConnectionAttempts.create({
      target,
      maxRelays,
      connectDirectly: () => this.connectDirectly(target),
      connectThrough: (relay) => this.connectThrough(relay, target),
      chooseRelay: (asked) =>
        asked.size === 0 || asksAll || !this.isLikelyDown(target)
          ? relays.choose(target, asked, this.timeline.read())
          : undefined,
      onDoubt: () => onDoubt(target),
    });
  }

  private async tryAllWays(
    target: PathTarget,
    maxRelays: number,
    asksAll = false,
  ): Promise<CheckResult> {
    try {
      (await this.connect(target, maxRelays, asksAll)).socket.destroy();
      return "taken";
    } catch (thrown) {
      return toCheckResult(DialError.from(thrown));
    }
  }

  private getEstablishedAt({ instanceHash }: PathTarget): number {
    return this.establishedAt.get(instanceHash) ?? -Infinity;
  }

  /** Connects over this host's own path only. */
  private async tryDirectly(target: PathTarget): Promise<CheckResult> {
    try {
      (await this.connectDirectly(target)).socket.destroy();
      return "taken";
    } catch (thrown) {
      return toCheckResult(DialError.from(thrown));
    }
  }

  private async connectDirectly(target: PathTarget): Promise<PathConnection> {
    const socket = await this.options.dial(target.address);
    this.establishedAt.set(target.instanceHash, this.timeline.read());
    this.change(target, "direct");
    return { socket, relayId: undefined };
  }

  private async connectThrough(
    relay: RelayHost,
    target: PathTarget,
  ): Promise<PathConnection> {
    try {
      const socket = await this.options.openTunnel(relay, target);
      return { socket, relayId: relay.id };
    } catch (thrown) {
      this.options.relays.recordRefusal(relay, target, this.timeline.read());
      throw thrown;
    }
  }

  /** Closes a connection that lost the race. */
  private handleLateConnection(
    target: PathTarget,
    { socket, relayId }: PathConnection,
  ): void {
    socket.destroy();
    const isOnlyWay = relayId !== undefined && target.path.isUnreachable;
    if (isOnlyWay) this.change(target, "relayed");
  }

  private change(target: PathTarget, state: PathState): void {
    if (target.isRemoved || !target.path.change(state)) return;
    const heardAgoMs = formatAge(target.lastReceivedAt, this.timeline.read());
    this.options.logger.warn(
      { upstream: target.id, state, heardAgoMs },
      "upstream_path_changed",
    );
    this.options.onChange(target, state);
    if (state === "direct") return this.handleRestoredPath(target);
    this.rechecks.start(target);
    if (state === "relayed") this.handleLostPath();
  }

  /** Checks the other paths, because a host seldom loses only one. */
  private handleLostPath(): void {
    const now = this.timeline.read();
    this.partitionedAt = now;
    for (const target of this.options.getTargets()) {
      const isInDoubt = target.path.isDirect &&
        now - target.lastReceivedAt > RECENTLY_HEARD_MS;
      if (isInDoubt) void this.check(target);
    }
  }

  /** Checks the other lost paths soon, because they are often restored together. */
  private handleRestoredPath(restored: PathTarget): void {
    this.rechecks.cancel(restored.instanceHash);
    for (const target of this.options.getTargets()) {
      if (!target.path.isDirect) this.rechecks.expedite(target);
    }
  }

  /** Checks the direct path, and at times whether another host reaches an upstream that is unreachable. */
  private async recheck(target: PathTarget): Promise<void> {
    this.options.onRecheck(target);
    const asksOthers = target.path.isUnreachable &&
      this.options.relays.admitsRecheck(target, this.timeline.read());
    if (asksOthers) {
      await this.tryAllWays(target, this.getCheckRelays(target));
    } else await this.tryDirectly(target);
  }

  /** Returns the maximum number of hosts that are asked in a check: none if the upstream is likely down. */
  private getCheckRelays(target: PathTarget): number {
    return this.isLikelyDown(target) ? 0 : MAX_CHECK_RELAYS;
  }

  /** Whether several hosts could not connect to an upstream, and this host's own network is not at fault. */
  private isLikelyDown(target: PathTarget): boolean {
    const { isReportedOut, getTargets } = this.options;
    return isReportedOut(target) &&
      hearsFromOthers(target, getTargets(), this.timeline.read());
  }
}
