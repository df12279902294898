import type { Random } from "../src/random/random.ts";

/** Skew of the popularity of prompts. */
const SKEW = 0.3;
/** Numbers of the prompts of one kind. */
const PROMPTS_PER_KIND = 1_000_000;

/** A kind of requests to engines. */
interface RequestKind {
  /** Its part of the traffic. */
  weight: number;
  /** Prompts that are asked for at a time, for each 100 requests in a second. */
  prompts: number;
  /** Tokens of a shared prompt. */
  tokens: number;
  /** Mean events of an answer, and the spread of their logarithm. */
  events: number;
  spread: number;
}

/** Long documents, chats, and short questions. */
const KINDS: readonly RequestKind[] = [
  { weight: 29.3, prompts: 79, tokens: 10_512, events: 55, spread: 0.44 },
  { weight: 41.4, prompts: 74, tokens: 699, events: 42, spread: 0.69 },
  { weight: 50.1, prompts: 135, tokens: 2_041, events: 3, spread: 1.4 },
];

/** Names of the kinds of requests. */
export const KIND_NAMES = ["read", "chat", "tag"] as const;

/** What traffic is made of. */
export interface PromptTrafficOptions {
  requestsPerSecond: number;
  /** Part of each kind's traffic that asks for popular prompts, from `hotFromMs` on. */
  hotShare: number;
  /** Popular prompts of each kind at a time. */
  hotPrompts: number;
  /** Time of traffic before prompts become popular, in milliseconds. */
  hotFromMs: number;
  /** Time after which other prompts are popular, in milliseconds. */
  hotForMs: number;
}

/** One request to an engine. */
export interface PromptRequest {
  kind: (typeof KIND_NAMES)[number];
  /** Number of the shared prompt. */
  prompt: number;
  /** Tokens of that prompt. */
  tokens: number;
  /** Events of the answer. */
  events: number;
}

/** Draws requests that share prompts. */
export class PromptTraffic {
  private readonly kindSums = buildSums(KINDS.map(({ weight }) => weight));
  private readonly promptSums: readonly (readonly number[])[];

  private constructor(
    private readonly options: PromptTrafficOptions,
    private readonly random: Random,
  ) {
    const { requestsPerSecond } = options;
    this.promptSums = KINDS.map(({ prompts }) =>
      buildPopularity(Math.round(prompts * requestsPerSecond / 100))
    );
  }

  /** Creates traffic.
   * @param options What it is made of.
   * @param random Source of its requests. */
  static create(options: PromptTrafficOptions, random: Random): PromptTraffic {
    return new PromptTraffic(options, random);
  }

  /** Draws the pause before the next request, in milliseconds. */
  drawPauseMs(): number {
    const { requestsPerSecond } = this.options;
    return -Math.log(1 - this.random.fraction()) * 1_000 / requestsPerSecond;
  }

  /** Draws a request.
   * @param elapsedMs Milliseconds since the traffic began. */
  drawRequest(elapsedMs: number): PromptRequest {
    const index = draw(this.kindSums, this.random);
    const kind = KINDS[index]!;
    const prompt = this.drawHotPrompt(elapsedMs) ??
      draw(this.promptSums[index]!, this.random);
    return {
      kind: KIND_NAMES[index]!,
      prompt: index * PROMPTS_PER_KIND + prompt,
      tokens: kind.tokens,
      events: drawEvents(kind, this.random),
    };
  }

  /** A popular prompt, whose number is above those of all others; undefined where the request asks for none. */
  private drawHotPrompt(elapsedMs: number): number | undefined {
    const { hotShare, hotFromMs, hotForMs, hotPrompts } = this.options;
    const hotMs = elapsedMs - hotFromMs;
    if (hotMs < 0 || this.random.fraction() >= hotShare) return undefined;
    const first = PROMPTS_PER_KIND / 2 +
      Math.floor(hotMs / hotForMs) * hotPrompts;
    return first + this.random.integer(0, hotPrompts - 1);
  }
}

/** Sums of the weights of prompts, the most popular first. */
function buildPopularity(count: number): number[] {
  return buildSums(
    Array.from({ length: count }, (_, index) => (index + 1) ** -SKEW),
  );
}

function buildSums(weights: readonly number[]): number[] {
  let sum = 0;
  return weights.map((weight) => sum += weight);
}

/** Draws an index by sums of weights. */
function draw(sums: readonly number[], random: Random): number {
  const drawn = random.fraction() * sums.at(-1)!;
  return sums.findIndex((sum) => drawn < sum);
}

function drawEvents(kind: RequestKind, random: Random): number {
  const { events, spread } = kind;
  const angle = 2 * Math.PI * random.fraction();
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(angle);
  const drawn = events * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.min(Math.max(1, Math.round(drawn)), 3 * events);
}
