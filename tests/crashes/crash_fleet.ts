import type { UpstreamInstance } from "../../src/crashes/crash_detector.ts";
import type { RequestHold } from "../../src/crashes/request_hold.ts";
import { Random } from "../../src/random/random.ts";
import { type StartedHost, VirtualFleet } from "../peers/virtual_fleet.ts";
import { runWithMicrotasks } from "../clock/run_with_microtasks.ts";
import { CrashRule } from "./crash_rule.ts";
import { VirtualCrashHost } from "./virtual_crash_host.ts";
import { type VirtualInstance, VirtualInstances } from "./virtual_instances.ts";
import {
  type PromptShape,
  type VirtualPrompt,
  VirtualPrompts,
} from "./virtual_prompts.ts";

/** Time from the start of the fleet until callers send prompts, in milliseconds. */
export const TRAFFIC_FROM_MS = 4_000;
const START_WITHIN_MS = 300;
const STARTING_MS = 400;
const SEEDS = 3;
/** Minimum and maximum latency between a host and an upstream, in milliseconds. */
const LATENCY_MS = [1, 3] as const;
/** Minimum and maximum time until a response begins, and from there to its end, in milliseconds. */
const FIRST_EVENT_MS = [40, 150] as const;
const STREAM_MS = [20, 2_000] as const;
/** Time after a crash in which another upstream starts for the crashed one, in milliseconds. */
const DOWN_MS = 2_000;
/** Number of attempts of a request. */
const MAX_ATTEMPTS = 2;
/** Turns of the microtask queue after each millisecond, which end all connection checks. */
const TURNS_PER_STEP = 6;

/** Options of a {@link CrashFleet}. */
export interface CrashFleetOptions extends PromptShape {
  seed: number;
  hosts: number;
  upstreams: number;
  soundPerSecond: number;
  crashingPerSecond: number;
  /** Probability that an upstream crashes on a prompt with a crashing part. */
  crashProbability: number;
  /** Fraction of the datagrams between hosts that are lost. */
  loss: number;
  /** Time for which callers send prompts, in milliseconds. */
  trafficMs: number;
}

interface VirtualAttempt {
  prompt: VirtualPrompt;
  host: VirtualCrashHost;
  upstream: VirtualInstance;
  number: number;
  hasBegun: boolean;
  isOver: boolean;
}

/** Hosts in virtual time with the real crash guard and gossip, before upstreams that some prompts crash. */
export class CrashFleet {
  readonly fleet: VirtualFleet;
  readonly rule = CrashRule.create();
  private readonly random: Random;
  private readonly prompts: VirtualPrompts;
  private readonly hosts = new Map<number, VirtualCrashHost>();
  private readonly instances = new VirtualInstances();
  private attempts = new Set<VirtualAttempt>();

  private constructor(private readonly options: CrashFleetOptions) {
    const { seed, hosts, loss, upstreams } = options;
    this.random = Random.create(seed);
    this.prompts = new VirtualPrompts(this.random.fork(), options);
    this.fleet = VirtualFleet.create({
      seed,
      size: hosts,
      seeds: SEEDS,
      loss,
      startWithinMs: START_WITHIN_MS,
      startingMs: STARTING_MS,
      onStart: (host) => this.addHost(host),
      onEntry: (index, entry) => {
        if (entry.phase !== "starting") return;
        this.hosts.get(index)?.exchange.informStarted(entry);
      },
    });
    this.instances.start(upstreams);
    const { soundPerSecond, crashingPerSecond } = options;
    this.repeat(soundPerSecond, () => this.send(this.prompts.drawSound()));
    this.repeat(
      crashingPerSecond,
      () => this.send(this.prompts.drawCrashing()),
    );
  }

  /** Creates a fleet that starts for the first time.
   * @param options Its options. */
  static create(options: CrashFleetOptions): CrashFleet {
    return new CrashFleet(options);
  }

  /** Schedules an action.
   * @param at Virtual milliseconds.
   * @param action The action. */
  at(at: number, action: () => void): void {
    const { timeline } = this.fleet;
    timeline.after(at - timeline.read(), action);
  }

  /** Advances the time.
   * @param until Virtual milliseconds. */
  async runUntil(until: number): Promise<void> {
    await runWithMicrotasks(this.fleet.timeline, until, TURNS_PER_STEP);
  }

  /** Kills hosts at once and starts them again, except those that are down.
   * @param indices Their indices.
   * @param downMs Time until they start, in milliseconds. */
  kill(indices: readonly number[], downMs: number): void {
    for (const index of indices) {
      if (!this.hosts.delete(index)) continue;
      this.disturb([index], downMs);
      this.fleet.stopHost(index);
      this.fleet.timeline.after(downMs, () => this.fleet.startHost(index));
    }
    for (const attempt of this.attempts) {
      if (this.hosts.get(attempt.host.index) !== attempt.host) {
        this.endAttempt(attempt);
      }
    }
  }

  /** Pauses hosts.
   * @param indices Their indices.
   * @param forMs Duration in milliseconds. */
  pause(indices: readonly number[], forMs: number): void {
    for (const index of indices) {
      if (!this.fleet.isActive(index)) continue;
      this.disturb([index], forMs);
      this.fleet.pauseHost(index);
      this.fleet.timeline.after(forMs, () => this.fleet.resumeHost(index));
    }
  }

  /** Cuts some hosts off from all others.
   * @param indices Their indices.
   * @param forMs Duration in milliseconds. */
  cut(indices: readonly number[], forMs: number): void {
    this.disturb(indices, forMs);
    this.fleet.part((index) => indices.includes(index));
    this.fleet.timeline.after(forMs, () => this.fleet.part(() => false));
  }

  /** Crashes running upstreams that no prompt crashes.
   * @param count Number of upstreams. */
  crashUpstreams(count: number): void {
    const running = this.instances.getRunning();
    for (const upstream of this.random.shuffle(running).slice(0, count)) {
      this.crash(upstream);
    }
  }

  private disturb(indices: readonly number[], forMs: number): void {
    const until = this.fleet.timeline.read() + forMs;
    for (const index of indices) this.rule.recordDisturbance(index, until);
  }

  private repeat(perSecond: number, action: () => void): void {
    const { timeline } = this.fleet;
    const endsAt = TRAFFIC_FROM_MS + this.options.trafficMs;
    const next = () => {
      if (timeline.read() >= endsAt) return;
      if (timeline.read() >= TRAFFIC_FROM_MS) action();
      timeline.after(this.random.fraction() * 2_000 / perSecond, next);
    };
    if (perSecond > 0) timeline.after(0, next);
  }

  private addHost(started: StartedHost): () => void {
    const { index, timeline } = started;
    const host = VirtualCrashHost.create({
      started,
      random: this.random,
      findInstance: (instanceHash) => this.instances.find(instanceHash),
      check: (upstream) => this.check(upstream, timeline),
      onHeld: (hold) => this.refuseHeld(index, hold),
    });
    this.hosts.set(index, host);
    return () => host.close();
  }

  private check(
    { instanceHash }: UpstreamInstance,
    timeline: StartedHost["timeline"],
  ): Promise<"taken" | "refused"> {
    return new Promise((resolve) => {
      timeline.after(2 * this.random.integer(...LATENCY_MS), () => {
        const isRunning = this.instances.find(instanceHash)?.isRunning;
        resolve(isRunning ? "taken" : "refused");
      });
    });
  }

  private send(prompt: VirtualPrompt): void {
    const active = [...this.hosts.values()].filter(({ index }) =>
      this.fleet.isActive(index)
    );
    if (active.length === 0) return;
    const host = this.random.pick(active);
    const isRefused = host.guard.findRefusal(prompt) !== undefined;
    this.rule.recordRequest(prompt, host.index, this.now, !isRefused);
    if (!isRefused) this.attempt(prompt, host, 1);
  }

  private attempt(
    prompt: VirtualPrompt,
    host: VirtualCrashHost,
    number: number,
  ): void {
    const candidates = this.instances.getRunning().filter(({ instanceHash }) =>
      host.sendsTo(instanceHash)
    );
    if (candidates.length === 0) return;
    const upstream = this.random.pick(candidates);
    const attempt: VirtualAttempt = {
      prompt,
      host,
      upstream,
      number,
      hasBegun: false,
      isOver: false,
    };
    this.attempts.add(attempt);
    this.fleet.timeline.after(this.random.integer(...LATENCY_MS), () => {
      if (attempt.isOver) return;
      this.rule.recordArrival(prompt, host.index, this.now);
      this.fleet.timeline.after(
        this.random.integer(...FIRST_EVENT_MS),
        () => this.begin(attempt),
      );
    });
  }

  private begin(attempt: VirtualAttempt): void {
    if (attempt.isOver) return;
    const { prompt, upstream, host } = attempt;
    const crashes = prompt.crashingPart !== undefined &&
      this.random.fraction() < this.options.crashProbability;
    if (crashes) return this.crash(upstream, prompt.crashingPart);
    attempt.hasBegun = true;
    if (attempt.number === 1) this.rule.recordBegin(prompt);
    host.timeline.after(this.random.integer(...LATENCY_MS), () => {
      if (!attempt.isOver) host.guard.recordBegin(prompt);
    });
    this.fleet.timeline.after(this.random.integer(...STREAM_MS), () => {
      if (attempt.isOver) return;
      this.endAttempt(attempt);
      host.timeline.after(this.random.integer(...LATENCY_MS), () => {
        host.guard.recordCompletion(prompt, true);
        host.guard.recordEnd(prompt.requestId);
      });
    });
  }

  private crash(upstream: VirtualInstance, part?: number): void {
    upstream.isRunning = false;
    if (part !== undefined) this.rule.recordCrash(part, this.now);
    for (const attempt of [...this.attempts]) {
      if (attempt.upstream === upstream) this.interrupt(attempt);
    }
    this.fleet.timeline.after(DOWN_MS, () => {
      this.instances.replace(upstream);
    });
  }

  private interrupt(attempt: VirtualAttempt): void {
    this.endAttempt(attempt);
    const { prompt, host, upstream, number, hasBegun } = attempt;
    host.timeline.after(this.random.integer(...LATENCY_MS), () => {
      host.guard.recordInterruption(upstream, prompt, hasBegun);
      const isRetried = number < MAX_ATTEMPTS && host.guard.mayRetry(prompt);
      if (isRetried) this.attempt(prompt, host, number + 1);
      else host.guard.recordEnd(prompt.requestId);
    });
  }

  private refuseHeld(
    hostIndex: number,
    { concerns }: RequestHold,
  ): void {
    for (const attempt of [...this.attempts]) {
      const { host, hasBegun, prompt } = attempt;
      if (host.index !== hostIndex || hasBegun || !concerns(prompt)) continue;
      this.fleet.timeline.after(
        this.random.integer(...LATENCY_MS),
        () => this.endAttempt(attempt),
      );
    }
  }

  private endAttempt(attempt: VirtualAttempt): void {
    attempt.isOver = true;
    this.attempts.delete(attempt);
  }

  private get now(): number {
    return this.fleet.timeline.read();
  }
}
