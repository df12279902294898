import { RetryBudgets } from "../../src/gateway/retry_budgets.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualFleet } from "../peers/virtual_fleet.ts";
import {
  findWorstWindow,
  type RetryRule,
  type WorstWindow,
} from "./retry_budget_rule.ts";

/** Time from the start of the fleet until callers send requests, in milliseconds. */
export const TRAFFIC_FROM_MS = 12_000;
/** Time within which the hosts start, in milliseconds. */
const START_WITHIN_MS = 300;
/** Number of seed hosts. */
const SEEDS = 3;
/** Fraction of the datagrams between hosts that are lost. */
const DATAGRAM_LOSS = 0.01;
/** Maximum number of retries of one request. */
const MAX_RETRIES = 3;
/** Minimum and maximum time from a send to the failure of the attempt, in milliseconds. */
const ATTEMPT_MS = [5, 120] as const;
/** Minimum and maximum time from a send to its arrival, in milliseconds. */
const ARRIVAL_MS = [0, 20] as const;
const SERVICE = "s";

/** Options of a {@link RetryBudgetFleet}. */
export interface RetryBudgetFleetOptions {
  seed: number;
  hosts: number;
  /** Number of hosts that start at the beginning; all by default. */
  startSize?: number;
  requestsPerSecond: number;
  rule: RetryRule;
  /** Returns the fraction of the attempts that fail at a time, in milliseconds. */
  getFailingFraction: (now: number) => number;
}

/** Process of a host: its budgets are lost with it. */
interface HostProcess {
  budgets: RetryBudgets;
  settings: { rule: RetryRule };
}

/** Hosts in virtual time whose requests fail and are retried as their shares of the retry budget allow. Hosts
 * discover each other by gossip. */
export class RetryBudgetFleet {
  /** The hosts. */
  readonly fleet: VirtualFleet;
  /** Times of the requests that reached a host. */
  readonly requests: number[] = [];
  /** Times at which retries reached an upstream. */
  readonly retries: number[] = [];
  /** Number of failed attempts that could have been retried. */
  failures = 0;
  private readonly random: Random;
  private readonly processes = new Map<number, HostProcess>();

  private constructor(private readonly options: RetryBudgetFleetOptions) {
    const { seed, hosts, startSize } = options;
    this.random = Random.create(seed);
    this.fleet = VirtualFleet.create({
      seed,
      size: hosts,
      startSize,
      seeds: SEEDS,
      loss: DATAGRAM_LOSS,
      startWithinMs: START_WITHIN_MS,
    });
    this.fleet.timeline.runUntil(START_WITHIN_MS);
    for (let index = 0; index < (startSize ?? hosts); index++) {
      this.createProcess(index, true);
    }
    this.fleet.timeline.after(
      TRAFFIC_FROM_MS - START_WITHIN_MS,
      () => this.sendRequests(),
    );
  }

  /** Creates a fleet that starts for the first time.
   * @param options Its options. */
  static create(options: RetryBudgetFleetOptions): RetryBudgetFleet {
    return new RetryBudgetFleet(options);
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
  runUntil(until: number): void {
    this.fleet.timeline.runUntil(until);
  }

  /** Starts a host unless it is running.
   * @param index Its index. */
  start(index: number): void {
    if (this.processes.has(index)) return;
    this.fleet.startHost(index);
    this.createProcess(index, false);
  }

  /** Kills a host and starts it again, unless it is down.
   * @param index Its index.
   * @param downMs Time until it starts, in milliseconds. */
  kill(index: number, downMs: number): void {
    if (!this.processes.delete(index)) return;
    this.fleet.stopHost(index);
    this.fleet.timeline.after(downMs, () => this.start(index));
  }

  /** Pauses a host, unless it is paused or down; a kill ends the pause.
   * @param index Its index.
   * @param forMs Duration in milliseconds. */
  pause(index: number, forMs: number): void {
    if (!this.fleet.isActive(index)) return;
    this.fleet.pauseHost(index);
    this.fleet.timeline.after(forMs, () => this.fleet.resumeHost(index));
  }

  /** Reloads the settings of a host, unless it is down.
   * @param index Its index.
   * @param rule The budget in the new settings. */
  reload(index: number, rule = this.options.rule): void {
    const process = this.processes.get(index);
    if (process) process.settings.rule = rule;
  }

  /** Returns the window in which the retries of all hosts come closest to the budget, or exceed it the most. */
  findWorstWindow(): WorstWindow {
    return findWorstWindow(this.requests, this.retries, this.options.rule);
  }

  private createProcess(index: number, isFirstStart: boolean): void {
    const gossip = this.fleet.findGossip(index)!;
    const settings = { rule: this.options.rule };
    const budgets = RetryBudgets.create({
      getSettings: () => {
        const { rule: { ratio, extra, windowMs } } = settings;
        return {
          isFirstStart,
          retryRatio: ratio,
          retryExtra: extra,
          retryWindowMs: windowMs,
        };
      },
      getFleetSize: () => gossip.fleetSize,
      getRetainedFraction: (withinMs) => gossip.getRetainedFraction(withinMs),
      random: this.random.fork(),
      readNow: () => this.fleet.timeline.read(),
    });
    this.processes.set(index, { budgets, settings });
  }

  private sendRequests(): void {
    const { random, fleet: { timeline } } = this;
    const meanMs = 1_000 / this.options.requestsPerSecond;
    const intervalMs = -meanMs * Math.log(1 - random.fraction());
    timeline.after(intervalMs, () => this.sendRequests());
    const active = [...this.processes.keys()].filter((index) =>
      this.fleet.isActive(index)
    );
    if (active.length === 0) return;
    const index = random.pick(active);
    const process = this.processes.get(index)!;
    this.requests.push(timeline.read());
    process.budgets.recordRequest(SERVICE);
    this.waitForAttempt(index, process, 0);
  }

  private waitForAttempt(
    index: number,
    process: HostProcess,
    retries: number,
  ): void {
    const { timeline } = this.fleet;
    const fraction = this.options.getFailingFraction(timeline.read());
    if (this.random.fraction() >= fraction || retries === MAX_RETRIES) return;
    timeline.after(this.random.integer(...ATTEMPT_MS), () => {
      const isRunning = this.processes.get(index) === process &&
        this.fleet.isActive(index);
      if (isRunning) this.retry(index, process, retries);
    });
  }

  private retry(index: number, process: HostProcess, retries: number): void {
    const { timeline } = this.fleet;
    const now = timeline.read();
    this.failures += 1;
    if (!process.budgets.tryAcquire(SERVICE).isAllowed) return;
    this.retries.push(now + this.random.integer(...ARRIVAL_MS));
    this.waitForAttempt(index, process, retries + 1);
  }
}
