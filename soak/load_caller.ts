import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../src/random/random.ts";
import type { CallerAttempt } from "./caller_attempt.ts";
import type { Traffic } from "./overload.ts";
import { CUSTOMER, getKeyOf, PERMANENT_KEY } from "./soak_customers.ts";
import type { SoakCaller } from "./soak_caller.ts";

/** Interval at which an idle caller checks whether it has traffic, in milliseconds. */
const IDLE_MS = 20;
/** Part of the callers that wait as long as a refusal tells them before they send again. */
const PATIENT_FRACTION = 0.5;
/** Longest time that they wait, in milliseconds. */
const MAX_PATIENCE_MS = 1_000;

/** A caller under hard load, which sends requests of several customers, kinds and sizes one after the other. */
export class LoadCaller {
  private readonly isPatient: boolean;

  private constructor(
    private readonly caller: SoakCaller,
    private readonly random: Random,
    private readonly pauseRangeMs: readonly [number, number],
  ) {
    this.isPatient = random.fraction() < PATIENT_FRACTION;
  }

  /** Creates a caller.
   * @param caller Sends its requests.
   * @param random Source of randomness that nothing else draws from.
   * @param pauseRangeMs Range of the pause between two requests, in milliseconds. */
  static create(
    caller: SoakCaller,
    random: Random,
    pauseRangeMs: readonly [number, number],
  ): LoadCaller {
    return new LoadCaller(caller, random, pauseRangeMs);
  }

  /** Sends requests until told to stop, then closes the connections.
   * @param isOver Returns whether to stop.
   * @param getTraffic Returns what to draw requests from; undefined to send none at the moment. */
  async run(
    isOver: () => boolean,
    getTraffic: () => Traffic | undefined,
  ): Promise<void> {
    while (!isOver()) {
      const traffic = getTraffic();
      await delay(traffic ? await this.send(traffic) : IDLE_MS);
    }
    await this.caller.close();
  }

  /** Sends a request. Returns the pause before the next one, in milliseconds. */
  private async send({ customers, kinds, sizes }: Traffic): Promise<number> {
    const { random } = this;
    const customer = random.pick(customers);
    const key = customer === CUSTOMER ? PERMANENT_KEY : getKeyOf(customer);
    const attempt = await this.caller.sendOf(
      random.pick(kinds),
      key,
      random.pick(sizes),
    );
    return random.integer(...this.pauseRangeMs) + this.getPatienceMs(attempt);
  }

  private getPatienceMs(attempt: CallerAttempt | undefined): number {
    const seconds = Number(attempt?.refusal?.retryAfter ?? 0);
    return this.isPatient ? Math.min(MAX_PATIENCE_MS, seconds * 1_000) : 0;
  }
}
