import { Counter, type Registry } from "prom-client";
import type { StopDecision } from "../admission/decide_at_stop.ts";
import type { StopEnd } from "../forward/call_progress.ts";

/** Counters of graceful stops. */
export class StopMetrics {
  private readonly decisions: Counter;
  private readonly unfinished: Counter;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.decisions = new Counter({
      name: "beechkeel_stop_decisions_total",
      help:
        "Requests that arrived during a stop, by what was decided: certain, likely, refused.",
      labelNames: ["decision"],
      registers,
    });
    this.unfinished = new Counter({
      name: "beechkeel_stop_unfinished_total",
      help:
        "Requests that a stop has ended, by how: refused (not run), failed, cut.",
      labelNames: ["end"],
      registers,
    });
  }

  /** Creates counters that start at zero.
   * @param registry Serves them. */
  static create(registry: Registry): StopMetrics {
    return new StopMetrics(registry);
  }

  /** Records a decision on a request that arrived during a stop.
   * @param decision The decision. */
  recordDecision(decision: StopDecision): void {
    this.decisions.inc({ decision });
  }

  /** Records a request that the end of a stop has ended.
   * @param end How it was ended. */
  recordUnfinished(end: StopEnd): void {
    this.unfinished.inc({ end });
  }
}
