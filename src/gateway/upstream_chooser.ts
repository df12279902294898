import { StartAdmission } from "../admission/start_admission.ts";
import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import type { UpstreamAccess } from "../forward/call_run_context.ts";
import type { PromptPlace } from "../forward/call_log.ts";
import { mayRunAgain, type RoutedCall } from "../forward/routed_call.ts";
import type { Service } from "../published/configuration_schema.ts";
import { Random } from "../random/random.ts";
import type { AvailabilityChange } from "../upstreams/availability.ts";
import {
  chooseUpstream,
  type UpstreamChoice,
} from "../upstreams/choose_upstream.ts";
import { findFetchSource } from "../upstreams/find_fetch_source.ts";
import { LoadCounts } from "../upstreams/load_counts.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import { PrefixIndex, type SentPart } from "../upstreams/prefix_index.ts";
import { RetryShare } from "../upstreams/retry_share.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { HealthSign } from "../upstreams/upstream_health.ts";
import { UpstreamTable } from "../upstreams/upstream_table.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Time over which callers that were refused come back after a backoff, in milliseconds: as long as an upstream takes for the
 * first requests, one and then twice as many each time. */
const RETRY_AFTER_JITTER_MS = 250;

/** The settings that choices follow. */
export type ChooserSettings = Pick<
  GatewaySettings,
  | "boundMultiple"
  | "hall"
  | "leaveWithinMs"
  | "retryExtra"
  | "retryRatio"
  | "retryWindowMs"
>;

/** What the chooser needs of the gateway and whom it tells. */
export interface UpstreamChooserOptions {
  logger: Logger;
  /** The settings in force; read anew for each choice. */
  getSettings: () => ChooserSettings;
  /** A service as it is published, or nothing. */
  getService: (name: string) => Service | undefined;
  /** Hosts that are heard, this one too. */
  countHosts: () => number;
  /** Hosts that may share a budget of the fleet, also those that were lost lately. */
  countBudgetHosts: () => number;
  /** Monotonic milliseconds up to which a missing entry may only have lapsed. */
  getLapseEndsAt: () => number;
  /** Told when there are facts about prompts for other hosts. */
  onPrefixUpdates: () => void;
  /** Told of an upstream that has started again under its id. */
  onRestart: (before: Upstream) => void;
  /** Told of what an upstream has said of whether it takes requests, where that changed. */
  onAvailability: (change: AvailabilityChange) => void;
  /** Told of each upstream that is taken out. */
  onDrop: (upstream: Upstream) => void;
  /** Told of each send, with what was known of the requests on the upstream. */
  onSend: (choice: UpstreamChoice, load: LoadSnapshot) => void;
  /** Told of each sign of an upstream's health. */
  onHealthSignal: (sign: HealthSign) => void;
  /** Reads monotonic milliseconds; the process's clock by default. */
  readNow?: () => number;
  /** Unseeded by default. */
  random?: Random;
}

/** Holds the upstreams with their loads, the prompts they keep and the retries left, and chooses among them. */
export class UpstreamChooser {
  /** The upstreams that are known. */
  readonly upstreams: UpstreamTable;
  /** Requests on each upstream. */
  readonly loads = LoadCounts.create();
  /** Which engines keep which parts of prompts. */
  readonly prefixes = PrefixIndex.create();
  private readonly readNow: () => number;
  private readonly random: Random;
  private readonly admission: StartAdmission;
  private readonly retryBudgets = new Map<string, RetryShare>();

  private constructor(private readonly options: UpstreamChooserOptions) {
    this.readNow = options.readNow ?? readClock;
    this.random = options.random ?? Random.create();
    this.admission = StartAdmission.create(this.random);
    this.upstreams = UpstreamTable.create({
      logger: options.logger,
      getLapseEndsAt: options.getLapseEndsAt,
      leaveWithinMs: options.getSettings().leaveWithinMs,
      onRestart: options.onRestart,
      onAvailability: options.onAvailability,
      onDrop: options.onDrop,
    });
  }

  /** Creates a chooser that knows no upstreams.
   * @param options What it needs. */
  static create(options: UpstreamChooserOptions): UpstreamChooser {
    return new UpstreamChooser(options);
  }

  /** What requests' runs need of the upstreams. */
  createAccess(): UpstreamAccess {
    return {
      choose: (call, tried) => this.choose(call, tried),
      getRetryAfterMs: (service) => this.getRetryAfterMs(service),
      placePrompt: (call, target) => this.placePrompt(call, target),
      noteSend: (choice) => this.recordSend(choice),
      noteCompleted: ({ service, route }, durationMs) =>
        this.admission.noteCompleted(service, route.name, durationMs),
      spendRetry: (service) => this.spendRetry(service),
      noteHealth: (upstream, sign) => this.recordHealthSignal(upstream, sign),
      noteMoved: (upstream) => this.upstreams.drop(upstream),
    };
  }

  /** Engines of the services that can take from each other what they keep. */
  getFetchCapableEngines(): Upstream[] {
    return [...this.upstreams.getAll()].filter((upstream) =>
      this.options.getService(upstream.published.service)?.canFetch
    );
  }

  /** Counts a call that is sent for the first time, from which its service's retries grow.
   * @param service Name of the service. */
  recordRequest(service: string): void {
    this.getRetryBudget(service).noteRequest(this.readNow());
  }

  /** Begins the counts of retries anew, for the settings they follow have changed. */
  resetRetryBudgets(): void {
    this.retryBudgets.clear();
  }

  /** Takes that an upstream has crashed: it gets nothing for a while, and gives others nothing of what it kept.
   * @param shortName Short name of the start. */
  markCrashed(shortName: number): void {
    const upstream = this.upstreams.findByShortName(shortName);
    if (!upstream) return;
    upstream.crashedAt = this.readNow();
    this.recordHealthSignal(upstream, "unreachable");
  }

  /** Closes the connections to all upstreams. */
  close(): void {
    this.upstreams.close();
  }

  /** Chooses an upstream for a call, or nothing where none is left.
   * @param call The call.
   * @param tried Ids of the upstreams that the call was sent to before. */
  private choose(
    call: RoutedCall,
    tried: ReadonlySet<string>,
  ): UpstreamChoice | undefined {
    const { boundMultiple, hall } = this.options.getSettings();
    const now = this.readNow();
    return chooseUpstream({
      candidates: this.getCandidates(call.service),
      present: this.getReachable(call.service, now),
      boundMultiple,
      service: call.service,
      route: call.route.name,
      tried,
      isCautious: !mayRunAgain(call),
      sharedParts: call.sharedParts,
      prefixes: this.prefixes,
      loads: this.loads,
      admission: this.admission,
      hall,
      random: this.random,
      now,
    });
  }

  /** Upstreams of a service that are there, whether or not they take new requests. */
  private getReachable(service: string, now: number): Upstream[] {
    return this.upstreams.getPresent(service).filter((upstream) =>
      upstream.isWithinReach(now)
    );
  }

  /** Time after which a caller that is refused may come back, in milliseconds, where all upstreams asked for a backoff:
   * when the first of them ends, and spread a little, for the first requests show whether the upstream has room.
   * @param service Name of the service. */
  private getRetryAfterMs(service: string): number | undefined {
    const backoffMs = this.upstreams.getBackoffMs(service);
    if (backoffMs === undefined) return undefined;
    return backoffMs + this.random.integer(0, RETRY_AFTER_JITTER_MS);
  }

  /** What an engine keeps of a call's prompt, and from where it should fetch the rest, or nothing where the call shares no
   * prompt; records that the prompt is sent.
   * @param call The call.
   * @param target The engine that is to run it. */
  private placePrompt(
    call: RoutedCall,
    target: Upstream,
  ): PromptPlace | undefined {
    const { sharedParts, service } = call;
    const deepest = sharedParts.at(-1);
    if (!deepest) return undefined;
    const now = this.readNow();
    const kept = sharedParts.filter(({ name }) =>
      this.prefixes.isKept(name, target.shortName, now)
    );
    const source = this.findPrefixSource(sharedParts, service, target, now);
    const isFetched = source !== undefined;
    this.prefixes.noteSent(sharedParts, target.shortName, isFetched, now);
    if (this.prefixes.hasUntold) this.options.onPrefixUpdates();
    return {
      part: deepest.name,
      sharedTokens: sumTokens(sharedParts),
      keptTokens: sumTokens(kept),
      fetchFrom: source?.published.address,
    };
  }

  private findPrefixSource(
    parts: readonly SentPart[],
    service: string,
    target: Upstream,
    now: number,
  ): Upstream | undefined {
    if (!this.options.getService(service)?.canFetch) return undefined;
    const engines = this.getReachable(service, now);
    return findFetchSource(parts, target, engines, this.prefixes, now);
  }

  private recordSend(choice: UpstreamChoice): LoadSnapshot {
    const load = this.loads.getSnapshot(choice.upstream, this.readNow());
    this.options.onSend(choice, load);
    return load;
  }

  /** Records how an attempt at an upstream ended.
   * @param upstream The upstream.
   * @param sign What the attempt says of its health. */
  private recordHealthSignal(upstream: Upstream, sign: HealthSign): void {
    this.options.onHealthSignal(sign);
    const ejectedMs = upstream.health.note(sign, this.readNow());
    if (ejectedMs === 0) return;
    this.options.logger.warn(
      { upstream: upstream.id, sign, ejectedMs },
      "upstream_ejected",
    );
  }

  /** Takes a retry of a service; returns whether there was one left.
   * @param service Name of the service. */
  private spendRetry(service: string): boolean {
    return this.getRetryBudget(service).spend(this.readNow());
  }

  /** Upstreams of a service that may get a request, but for those on which this host has used its share of their
   * connections. */
  private getCandidates(service: string): Upstream[] {
    const serving = this.upstreams.getServing(service);
    const most = this.options.getService(service)?.maxConnections;
    if (most === undefined) return serving;
    const share = Math.max(1, most / this.options.countHosts());
    return serving.filter((upstream) => upstream.ownRequests < share);
  }

  private getRetryBudget(service: string): RetryShare {
    const known = this.retryBudgets.get(service);
    if (known) return known;
    const settings = this.options.getSettings();
    const share = RetryShare.create({
      ratio: settings.retryRatio,
      extra: settings.retryExtra,
      windowMs: settings.retryWindowMs,
      countHosts: this.options.countBudgetHosts,
      random: this.random,
    });
    this.retryBudgets.set(service, share);
    return share;
  }
}

function sumTokens(parts: readonly SentPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
