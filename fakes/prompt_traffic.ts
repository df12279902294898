import type { Random } from "../src/random/random.ts";

/** Exponent of the Zipf distribution of the popularity of prompts. */
const POPULARITY_EXPONENT = 0.3;
/** Size of the range of prompt numbers reserved for each kind of request. */
const PROMPTS_PER_KIND = 1_000_000;

/** A kind of request to engines. */
interface RequestKind {
  /** Relative share of the traffic. */
  weight: number;
  /** Distinct prompts in use, per 100 requests per second. */
  prompts: number;
  /** Length of a shared prompt in tokens. */
  tokens: number;
  /** Mean number of events of a response, and the standard deviation of its logarithm. */
  events: number;
  spread: number;
}

/** Long documents, chats, and short questions. */
const REQUEST_KINDS: readonly RequestKind[] = [
  { weight: 29.3, prompts: 79, tokens: 10_512, events: 55, spread: 0.44 },
  { weight: 41.4, prompts: 74, tokens: 699, events: 42, spread: 0.69 },
  { weight: 50.1, prompts: 135, tokens: 2_041, events: 3, spread: 1.4 },
];

/** Names of the kinds of request, in the order of their definitions. */
export const REQUEST_KIND_NAMES = ["read", "chat", "tag"] as const;

/** Options of the traffic. */
export interface PromptTrafficOptions {
  requestsPerSecond: number;
  /** Share of each kind's requests that use hot prompts, from `hotFromMs` on. */
  hotShare: number;
  /** Number of hot prompts of each kind at a time. */
  hotPrompts: number;
  /** Time from the start of the traffic until there are hot prompts, in milliseconds. */
  hotFromMs: number;
  /** Time after which the hot prompts are replaced by others, in milliseconds. */
  hotForMs: number;
}

/** One request to an engine. */
export interface PromptRequest {
  kind: (typeof REQUEST_KIND_NAMES)[number];
  /** Number of the shared prompt. */
  prompt: number;
  /** Length of the shared prompt in tokens. */
  tokens: number;
  /** Number of events of the response. */
  events: number;
}

/** Generates random requests that share prompts. */
export class PromptTraffic {
  private readonly cumulativeKindWeights = buildCumulativeWeights(
    REQUEST_KINDS.map(({ weight }) => weight),
  );
  private readonly cumulativePromptWeights: readonly (readonly number[])[];

  private constructor(
    private readonly options: PromptTrafficOptions,
    private readonly random: Random,
  ) {
    const { requestsPerSecond } = options;
    this.cumulativePromptWeights = REQUEST_KINDS.map(({ prompts }) =>
      buildCumulativePopularity(Math.round(prompts * requestsPerSecond / 100))
    );
  }

  /** Creates a generator of traffic.
   * @param options Options of the traffic.
   * @param random Source of randomness. */
  static create(options: PromptTrafficOptions, random: Random): PromptTraffic {
    return new PromptTraffic(options, random);
  }

  /** Draws the exponentially distributed time to the next request, in milliseconds. */
  drawInterarrivalMs(): number {
    const { requestsPerSecond } = this.options;
    return -Math.log(1 - this.random.fraction()) * 1_000 / requestsPerSecond;
  }

  /** Draws a request.
   * @param elapsedMs Milliseconds since the start of the traffic. */
  drawRequest(elapsedMs: number): PromptRequest {
    const index = drawIndex(this.cumulativeKindWeights, this.random);
    const kind = REQUEST_KINDS[index]!;
    const prompt = this.drawHotPrompt(elapsedMs) ??
      drawIndex(this.cumulativePromptWeights[index]!, this.random);
    return {
      kind: REQUEST_KIND_NAMES[index]!,
      prompt: index * PROMPTS_PER_KIND + prompt,
      tokens: kind.tokens,
      events: drawEvents(kind, this.random),
    };
  }

  /** Draws a hot prompt, numbered above all other prompts of its kind; undefined if the request uses none. */
  private drawHotPrompt(elapsedMs: number): number | undefined {
    const { hotShare, hotFromMs, hotForMs, hotPrompts } = this.options;
    const hotMs = elapsedMs - hotFromMs;
    if (hotMs < 0 || this.random.fraction() >= hotShare) return undefined;
    const first = PROMPTS_PER_KIND / 2 +
      Math.floor(hotMs / hotForMs) * hotPrompts;
    return first + this.random.integer(0, hotPrompts - 1);
  }
}

/** Cumulative weights of prompts, the most popular first. */
function buildCumulativePopularity(count: number): number[] {
  return buildCumulativeWeights(
    Array.from(
      { length: count },
      (_, index) => (index + 1) ** -POPULARITY_EXPONENT,
    ),
  );
}

function buildCumulativeWeights(weights: readonly number[]): number[] {
  let sum = 0;
  return weights.map((weight) => sum += weight);
}

/** Draws an index according to cumulative weights. */
function drawIndex(sums: readonly number[], random: Random): number {
  const drawn = random.fraction() * sums.at(-1)!;
  return sums.findIndex((sum) => drawn < sum);
}

/** Draws the number of events of a response from a log-normal distribution, clamped to 1 and three times the mean. */
function drawEvents(kind: RequestKind, random: Random): number {
  const { events, spread } = kind;
  const angle = 2 * Math.PI * random.fraction();
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(angle);
  const drawn = events * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.min(Math.max(1, Math.round(drawn)), 3 * events);
}
