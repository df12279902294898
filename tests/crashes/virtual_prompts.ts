import type { TrackedRequest } from "../../src/crashes/interrupted_request.ts";
import type { Random } from "../../src/random/random.ts";

/** Hash of the first part of most prompts. */
const FIRST_PART = 1;
/** Hash of the first of the parts that crash upstreams. */
const FIRST_CRASHING_PART = 1_000;
/** Number of parts that many prompts share in second place, and the hash of the first one. */
const SHARED_PARTS = 5;
const FIRST_SHARED_PART = 10;
/** Number of chats, whose parts are rarely sent, and the hash of the first one. */
const CHATS = 60;
const FIRST_CHAT_PART = 100;

/** A prompt of a caller. */
export interface VirtualPrompt extends TrackedRequest {
  /** Hash of the part that crashes upstreams; undefined if none does. */
  readonly crashingPart: number | undefined;
}

/** How the prompts with crashing parts look. */
export interface PromptShape {
  /** Number of parts that crash upstreams. */
  crashingParts: number;
  /** Whether they are the first ones of their prompts. */
  isFirst: boolean;
}

/** Draws the prompts of callers; no two are alike. */
export class VirtualPrompts {
  private count = 0;

  constructor(
    private readonly random: Random,
    private readonly shape: PromptShape,
  ) {}

  /** Draws a prompt that crashes no upstream. */
  drawSound(): VirtualPrompt {
    const parts = this.random.fraction() < 0.5
      ? [FIRST_PART, this.drawSharedPart()]
      : [FIRST_PART, this.drawSharedPart(), this.drawChatPart()];
    return this.build(parts, undefined);
  }

  /** Draws a prompt that crashes each upstream that begins to answer it. */
  drawCrashing(): VirtualPrompt {
    const { crashingParts, isFirst } = this.shape;
    const crashing = FIRST_CRASHING_PART +
      this.random.integer(0, crashingParts - 1);
    const companion = this.drawSharedPart();
    const parts = isFirst
      ? [crashing, companion]
      : [FIRST_PART, companion, crashing];
    return this.build(parts, crashing);
  }

  private drawSharedPart(): number {
    return FIRST_SHARED_PART + this.random.integer(0, SHARED_PARTS - 1);
  }

  private drawChatPart(): number {
    return FIRST_CHAT_PART + this.random.integer(0, CHATS - 1);
  }

  private build(
    parts: readonly number[],
    crashingPart: number | undefined,
  ): VirtualPrompt {
    this.count += 1;
    const requestId = `r-${this.count}`;
    return { requestId, fingerprint: this.count, parts, crashingPart };
  }
}
