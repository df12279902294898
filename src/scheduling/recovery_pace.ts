/** Permitted requests in flight of the fleet at first: two, so that one host that fails does not hold the only trial. */
const INITIAL_PACE = 2;
/** Interval at which the pace follows the fleet's requests, in milliseconds: two deliveries of the hosts' counts. */
const STEP_MS = 500;
/** Fraction of its peers' requests from which an upstream carries its share. */
const SHARE_FRACTION = 0.75;
/** Fraction of the requests that the pace lets expect, below which other hosts have likely withdrawn. */
const WITHDRAWN_FRACTION = 0.5;
/** Steps after which the pace grows although the upstream has fewer requests than expected: they may go elsewhere for
 * other reasons, such as cached prompts. */
const MAX_HELD_STEPS = 2;
/** Time without growth after a strained answer, in milliseconds; doubles with each further one. */
const INITIAL_HOLD_MS = 1_000;
/** Maximum time without growth, in milliseconds. */
const MAX_HOLD_MS = 8_000;
/** Maximum factor by which one answer lowers the pace. */
const MAX_DECREASE = 4;
/** Time after which the pace ends in any case, in milliseconds: by then its speed is known from its answers. */
const MAX_PACE_MS = 30_000;

/** What a host knows of the load while an upstream is paced. */
export interface PaceLoad {
  /** Requests of all hosts on the upstream. */
  requests: number;
  /** Mean requests on the upstreams of the service that are not paced. */
  peerRequests: number;
  /** Own requests at the service, as far as they show that this host would use a permitted one: from 0 to 1. */
  demand: number;
  /** Number of hosts in the fleet. */
  hosts: number;
}

/** Answer of a paced upstream. */
export interface PaceAnswer {
  /** Time to the first event, relative to the longest one that is neither unusual nor late. */
  strain: number;
  /** Whether the upstream reported that requests wait, or that it works slower than usual. */
  isBusy: boolean;
  /** Monotonic milliseconds at which the request was sent. */
  sentAt: number;
}

/** Why a pace ended. */
export type PaceEnd =
  /** The upstream has as many requests as its peers. */
  | "carries_share"
  /** Each host may have requests there. */
  | "unlimited"
  | "timed_out";

/** Whether an upstream has about as many requests as its peers.
 * @param requests Requests of all hosts on it.
 * @param peerRequests Mean requests on its peers. */
export function carriesShare(requests: number, peerRequests: number): boolean {
  return requests > SHARE_FRACTION * peerRequests;
}

/** Number of requests that the fleet may have in flight on an upstream that has started or recovered. Hosts do not agree
 * on it: each changes its own figure by the answers that it gets, and otherwise follows the number of requests that the
 * other hosts keep there. */
export class RecoveryPace {
  private pace = INITIAL_PACE;
  private changedAt: number;
  private holdEndsAt = -Infinity;
  private consecutiveStrains = 0;
  private heldSteps = 0;
  private step: StepSums;

  private constructor(private readonly startedAt: number) {
    this.changedAt = startedAt;
    this.step = createStepSums(startedAt);
  }

  /** Creates the pace of an upstream that starts or recovers.
   * @param now Monotonic milliseconds. */
  static create(now: number): RecoveryPace {
    return new RecoveryPace(now);
  }

  /** Permitted requests in flight of the fleet. */
  get limit(): number {
    return this.pace;
  }

  /** Returns the time since the start, in milliseconds.
   * @param now Monotonic milliseconds. */
  getAgeMs(now: number): number {
    return now - this.startedAt;
  }

  /** Follows the fleet's requests; returns why the pace ends, or undefined if it goes on.
   * @param load The load.
   * @param now Monotonic milliseconds. */
  observe(load: PaceLoad, now: number): PaceEnd | undefined {
    this.step.samples += 1;
    this.step.requests += load.requests;
    this.step.demand += load.demand;
    if (now - this.step.startedAt < STEP_MS) return undefined;
    const { samples, requests, demand } = this.step;
    this.step = createStepSums(now);
    if (now - this.startedAt >= MAX_PACE_MS) return "timed_out";
    if (now < this.holdEndsAt) return undefined;
    const meanRequests = requests / samples;
    if (carriesShare(meanRequests, load.peerRequests)) return "carries_share";
    const expected = Math.min(this.pace, load.peerRequests) * demand / samples;
    if (expected >= 1 && meanRequests < WITHDRAWN_FRACTION * expected) {
      this.heldSteps += 1;
      if (this.heldSteps < MAX_HELD_STEPS) return undefined;
    }
    this.grow(now);
    return this.pace >= Math.max(load.hosts, load.peerRequests)
      ? "unlimited"
      : undefined;
  }

  /** Adapts the pace to an answer. Answers to requests that were sent before the last change are ignored, so that
   * requests in flight at one moment count once.
   * @param answer The answer.
   * @param now Monotonic milliseconds. */
  recordAnswer({ strain, isBusy, sentAt }: PaceAnswer, now: number): void {
    if (sentAt < this.changedAt) return;
    if (strain > 1) this.shrink(strain, now);
    else if (!isBusy) {
      this.consecutiveStrains = 0;
      this.holdEndsAt = -Infinity;
      this.grow(now);
    }
  }

  /** Adapts the pace to a declined or failed request. Failures while the pace is held count once, since many requests fail
   * at the same moment.
   * @param now Monotonic milliseconds. */
  recordFailure(now: number): void {
    if (now < this.holdEndsAt) return;
    this.shrink(MAX_DECREASE, now);
  }

  private grow(now: number): void {
    this.pace *= 2;
    this.changedAt = now;
    this.heldSteps = 0;
  }

  private shrink(strain: number, now: number): void {
    const factor = Math.min(MAX_DECREASE, Math.max(2, strain));
    this.pace = Math.max(1, Math.floor(this.pace / factor));
    this.changedAt = now;
    const holdMs = INITIAL_HOLD_MS * 2 ** this.consecutiveStrains;
    this.holdEndsAt = now + Math.min(MAX_HOLD_MS, holdMs);
    this.consecutiveStrains += 1;
  }
}

/** Sums of the observations within one step. */
interface StepSums {
  startedAt: number;
  samples: number;
  requests: number;
  demand: number;
}

function createStepSums(startedAt: number): StepSums {
  return { startedAt, samples: 0, requests: 0, demand: 0 };
}
