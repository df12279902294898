import { readClock } from "../clock/clock.ts";
import { waitAtMost } from "../clock/wait_at_most.ts";
import type { Logger } from "../logging/logger.ts";
import {
  decidePublicationUse,
  type PublicationUse,
} from "./decide_publication_use.ts";

/** What is known of the publication of this host. */
export interface KnownPublication {
  /** Age in milliseconds. */
  readonly ageMs: number;
  /** Whether the platform is known not to respond. */
  readonly isPlatformUnavailable: boolean;
}

/** Dependencies of a {@link PublicationGate}. */
export interface PublicationGateOptions {
  logger: Logger;
  publication: KnownPublication;
  /** Returns the time within which changes must be in force, in milliseconds. */
  getApplyWithinMs: () => number;
  /** Called when the publication is found outdated, to have it updated at once. */
  onOutdated: () => void;
}

/** Decides at each use whether requests may be routed and sent by the publication of this host. */
export class PublicationGate {
  private lastUse: PublicationUse = "current";
  private lastChangeAt = readClock();
  private readonly waiting = new Set<() => void>();

  private constructor(private readonly options: PublicationGateOptions) {}

  /** Creates a gate.
   * @param options Its dependencies. */
  static create(options: PublicationGateOptions): PublicationGate {
    return new PublicationGate(options);
  }

  /** Whether a request may be routed or sent now. */
  get isOpen(): boolean {
    return this.decide() !== "outdated";
  }

  /** Waits until a request may be routed; returns whether one may be.
   * @param limitMs Maximum wait in milliseconds. */
  waitUntilOpen(limitMs: number): Promise<boolean> {
    return this.waitUntil(() => this.isOpen, limitMs);
  }

  /** Waits until every change before a moment is known; returns whether it is.
   * @param moment Monotonic milliseconds.
   * @param limitMs Maximum wait in milliseconds. */
  waitUntilComplete(moment: number, limitMs: number): Promise<boolean> {
    const { publication } = this.options;
    return this.waitUntil(
      () => readClock() - publication.ageMs >= moment,
      limitMs,
    );
  }

  /** Continues what waits, if that is possible now. Called when more is known of the publication or the platform. */
  recheck(): void {
    for (const check of [...this.waiting]) check();
  }

  private async waitUntil(
    isReached: () => boolean,
    limitMs: number,
  ): Promise<boolean> {
    if (isReached()) return true;
    let release: () => void = () => undefined;
    const reached = new Promise<void>((resolve) => release = resolve);
    const check = () => {
      if (isReached()) release();
    };
    this.waiting.add(check);
    await waitAtMost(reached, limitMs);
    this.waiting.delete(check);
    return isReached();
  }

  private decide(): PublicationUse {
    const { publication, getApplyWithinMs, onOutdated } = this.options;
    const { ageMs, isPlatformUnavailable } = publication;
    const applyWithinMs = getApplyWithinMs();
    const use = decidePublicationUse({
      ageMs,
      applyWithinMs,
      isPlatformUnavailable,
    });
    if (use !== this.lastUse) this.logChange(use, ageMs);
    if (use === "outdated") onOutdated();
    return use;
  }

  private logChange(use: PublicationUse, ageMs: number): void {
    const now = readClock();
    this.options.logger.warn({
      use,
      before: this.lastUse,
      beforeMs: Math.round(now - this.lastChangeAt),
      ageMs: Math.round(ageMs),
      applyWithinMs: this.options.getApplyWithinMs(),
    }, "publication_use_changed");
    this.lastUse = use;
    this.lastChangeAt = now;
  }
}
