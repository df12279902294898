import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Upstream } from "./upstream.ts";

/** Time for which an engine is taken to keep what it read, in milliseconds. */
const KEPT_FOR_MS = 8_000;
/** Prompts remembered; the one unused longest gives way. */
const MAX_PROMPTS = 20_000;

/** Where this host sent the prompts that requests share, and when. */
export class PrefixIndex {
  /** By what requests share, the engines with the monotonic milliseconds of the last request sent there. */
  private readonly engines = new Map<string, Map<string, number>>();

  private constructor() {}

  /** Creates an empty index. */
  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Records that a prompt was sent to an engine.
   * @param homeKey What the requests share.
   * @param engineId The engine.
   * @param now Monotonic milliseconds. */
  note(homeKey: string, engineId: string, now: number): void {
    const known = this.engines.get(homeKey) ?? new Map<string, number>();
    known.set(engineId, now);
    this.engines.delete(homeKey);
    this.engines.set(homeKey, known);
    if (this.engines.size <= MAX_PROMPTS) return;
    const [oldest] = this.engines.keys();
    if (oldest !== undefined) this.engines.delete(oldest);
  }

  /** Whether an engine is taken to keep a prompt.
   * @param homeKey What the requests share.
   * @param engineId The engine.
   * @param now Monotonic milliseconds. */
  isKept(homeKey: string, engineId: string, now: number): boolean {
    const at = this.engines.get(homeKey)?.get(engineId);
    return at !== undefined && now - at < KEPT_FOR_MS;
  }

  /** The engine from which another should fetch what it lacks of a prompt: where this host sent it last, else the one
   * that other hosts most likely sent it to.
   * @param homeKey What the requests share.
   * @param target The engine that is to run the request.
   * @param engines All engines of the service that can be reached, leaving ones too.
   * @param now Monotonic milliseconds. */
  findSource(
    homeKey: string,
    target: Upstream,
    engines: readonly Upstream[],
    now: number,
  ): Upstream | undefined {
    if (this.isKept(homeKey, target.id, now)) return undefined;
    const others = new Map(
      engines.filter((engine) => engine !== target).map((engine) => [
        engine.id,
        engine,
      ]),
    );
    const used = [...this.engines.get(homeKey) ?? []].filter(([id, at]) =>
      others.has(id) && now - at < KEPT_FOR_MS
    ).sort((a, b) => b[1] - a[1]);
    const sourceId = used[0]?.[0] ??
      rankByRendezvous(homeKey, [...others.keys()])[0];
    return sourceId === undefined ? undefined : others.get(sourceId);
  }
}
