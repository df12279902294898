import { EngineTiming } from "../../fakes/engine_timing.ts";
import type { PromptRequest } from "../../fakes/prompt_traffic.ts";
import type { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Options of a {@link VirtualEngine}. */
export interface VirtualEngineOptions {
  timeline: VirtualTimeline;
  /** Index of the engine, from which its id and address follow. */
  index: number;
  /** Number of requests that it runs at once. */
  slots: number;
  hall: string;
}

/** A simulated engine in virtual time. */
export class VirtualEngine {
  /** Number of requests in flight. */
  held = 0;
  private readonly timing = EngineTiming.create();

  private constructor(
    private readonly timeline: VirtualTimeline,
    /** The entry that it publishes. */
    readonly published: ReturnType<typeof buildUpstream>,
  ) {}

  /** Creates an idle engine.
   * @param options Its options. */
  static create(options: VirtualEngineOptions): VirtualEngine {
    const { timeline, index, slots, hall } = options;
    const published = buildUpstream({
      id: `engine-${index}`,
      address: `127.0.1.${index}:1`,
      arrival: index,
      hall,
      slots,
    });
    return new VirtualEngine(timeline, published);
  }

  /** Number of tokens of shared prompts that it had to prefill because they were not cached. */
  get prefilledTokens(): number {
    return this.timing.prefilledTokens;
  }

  /** Runs a request.
   * @param request The request.
   * @param onHead Called at the first event.
   * @param onEnd Called at the last event. */
  run(request: PromptRequest, onHead: () => void, onEnd: () => void): void {
    const { timeline, timing } = this;
    const { prompt, tokens, events } = request;
    this.held += 1;
    const headMs = timing.prefill(prompt, tokens, timeline.read());
    const eventsMs = timing.getDecodeMs(events, this.held);
    timeline.after(headMs, onHead);
    timeline.after(headMs + eventsMs, () => {
      this.held -= 1;
      onEnd();
    });
  }
}
