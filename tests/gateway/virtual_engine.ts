import type { Random } from "../../src/random/random.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import type { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Time of one step of an engine in milliseconds, and what each running request adds to it. */
const STEP_MS = 3.23;
const STEP_MS_PER_REQUEST = 0.0483;
/** Steps in one event of an answer. */
const STEPS_PER_EVENT = 7;
/** Time to the first event beside the reading of the prompt, in milliseconds. */
const FIRST_EVENT_MS = 47;
/** Tokens of a prompt that are read in a millisecond. */
const TOKENS_PER_MS = 112;

/** A request as an engine runs it. */
export interface VirtualRequest {
  /** Short name of the part of the prompt that requests share. */
  part: number;
  /** Tokens of that part. */
  tokens: number;
  /** Events of the answer. */
  events: number;
}

/** An engine in virtual time that keeps each part of a prompt it has read. */
export class VirtualEngine {
  /** What it publishes. */
  readonly published;
  /** Requests it holds. */
  held = 0;
  /** Tokens of shared parts that it had to read. */
  readTokens = 0;
  private readonly kept = new Set<number>();
  private readyAt = 0;

  private constructor(
    private readonly timeline: VirtualTimeline,
    index: number,
    slots: number,
    halls: number,
  ) {
    this.published = buildUpstream({
      id: `engine-${index}`,
      address: `127.0.1.${index}:1`,
      hall: `h-${index % halls}`,
      arrival: index,
      slots,
    });
  }

  /** Creates an idle engine.
   * @param timeline Its time.
   * @param index Its number.
   * @param slots Requests it works on at once.
   * @param halls Halls over which engines are spread. */
  static create(
    timeline: VirtualTimeline,
    index: number,
    slots: number,
    halls: number,
  ): VirtualEngine {
    return new VirtualEngine(timeline, index, slots, halls);
  }

  /** Short name under which hosts tell each other of it. */
  get shortName(): number {
    return Upstream.create(this.published).shortName;
  }

  /** Runs a request.
   * @param request The request.
   * @param onHead Called with the first event.
   * @param onEnd Called with the last. */
  run(request: VirtualRequest, onHead: () => void, onEnd: () => void): void {
    const { timeline } = this;
    this.held += 1;
    const readingMs = this.read(request);
    const stepMs = STEP_MS + STEP_MS_PER_REQUEST * this.held;
    const headMs = FIRST_EVENT_MS + readingMs;
    timeline.after(headMs, onHead);
    timeline.after(headMs + request.events * STEPS_PER_EVENT * stepMs, () => {
      this.held -= 1;
      onEnd();
    });
  }

  private read({ part, tokens }: VirtualRequest): number {
    const now = this.timeline.read();
    if (!this.kept.has(part)) {
      this.kept.add(part);
      this.readTokens += tokens;
      this.readyAt = Math.max(now, this.readyAt) + tokens / TOKENS_PER_MS;
    }
    return Math.max(0, this.readyAt - now);
  }
}

/** A kind of requests. */
export interface RequestKind {
  /** Its part of the traffic. */
  weight: number;
  /** Prompts that are shared at a time, for each 100 requests in a second. */
  prompts: number;
  /** Tokens of a shared prompt. */
  tokens: number;
  /** Mean events of an answer, and the spread of their logarithm. */
  events: number;
  spread: number;
}

/** Draws the events of an answer of a kind.
 * @param kind The kind.
 * @param random Source of the draw. */
export function drawEvents(kind: RequestKind, random: Random): number {
  const { events, spread } = kind;
  const angle = 2 * Math.PI * random.fraction();
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(angle);
  const drawn = events * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.min(Math.max(1, Math.round(drawn)), 3 * events);
}
