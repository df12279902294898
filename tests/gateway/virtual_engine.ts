import { EngineTiming } from "../../fakes/engine_timing.ts";
import type { PromptRequest } from "../../fakes/prompt_traffic.ts";
import type { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildUpstream } from "../published/build_published.ts";

/** What an engine is made of. */
export interface VirtualEngineOptions {
  timeline: VirtualTimeline;
  /** Its number. */
  index: number;
  /** Requests it works on at once. */
  slots: number;
  hall: string;
}

/** An engine in virtual time. */
export class VirtualEngine {
  /** Requests it holds. */
  held = 0;
  private readonly timing = EngineTiming.create();

  private constructor(
    private readonly timeline: VirtualTimeline,
    /** What it publishes. */
    readonly published: ReturnType<typeof buildUpstream>,
  ) {}

  /** Creates an idle engine.
   * @param options What it is made of. */
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

  /** Tokens of shared prompts that it had to read. */
  get readTokens(): number {
    return this.timing.readTokens;
  }

  /** Runs a request.
   * @param request The request.
   * @param onHead Called with the first event.
   * @param onEnd Called with the last. */
  run(request: PromptRequest, onHead: () => void, onEnd: () => void): void {
    const { timeline, timing } = this;
    const { prompt, tokens, events } = request;
    this.held += 1;
    const headMs = timing.read(prompt, tokens, timeline.read());
    const eventsMs = timing.getEventsMs(events, this.held);
    timeline.after(headMs, onHead);
    timeline.after(headMs + eventsMs, () => {
      this.held -= 1;
      onEnd();
    });
  }
}
