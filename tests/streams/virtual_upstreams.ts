import type { Random } from "../../src/random/random.ts";
import type {
  PublicationHistory,
  UpstreamChange,
} from "../../src/published/publication_feed.ts";
import type { PublishedUpstream } from "../../src/published/upstream_schema.ts";
import type { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Time for which an upstream continues to serve after it announced that it leaves, in milliseconds. */
const LEAVE_MS = 2_600;

/** An upstream in virtual time. */
export interface VirtualUpstream {
  published: PublishedUpstream;
  isRunning: boolean;
}

/** A change of the published list. */
export interface UpstreamListChange {
  id: string;
  published: PublishedUpstream | undefined;
}

/** Time for which the platform retains changes, in milliseconds. */
const HISTORY_MS = 20_000;

/** A change of the published list as the platform retains it. */
interface RetainedChange {
  change: UpstreamChange;
  /** Virtual milliseconds. */
  at: number;
}

/** The upstreams of one service in virtual time, and the list of them that is published. */
export class VirtualUpstreams {
  /** All upstreams that run or have run. */
  readonly all = new Map<string, VirtualUpstream>();
  /** Called with each change of the published list. */
  onChange: (change: UpstreamListChange) => void = () => undefined;
  /** Called when an upstream ends or loses its connections. */
  onInterruption: (id: string) => void = () => undefined;
  private count = 0;
  private revision = 0;
  private history: RetainedChange[] = [];
  private readonly lastChanges = new Map<string, UpstreamChange>();

  constructor(
    private readonly timeline: VirtualTimeline,
    private readonly random: Random,
  ) {}

  /** Starts an upstream.
   * @param softwareVersion Its version. */
  start(softwareVersion: string): void {
    this.count += 1;
    const id = `u-${this.count}`;
    const published = buildUpstream({
      id,
      softwareVersion,
      arrival: this.revision + 1,
      startedAt: this.timeline.read(),
    });
    this.all.set(id, { published, isRunning: true });
    this.publish(id, published);
  }

  /** Returns the running upstreams that do not leave. */
  getServing(): VirtualUpstream[] {
    return [...this.all.values()].filter(({ isRunning, published }) =>
      isRunning && !published.isLeaving
    );
  }

  /** Ends an upstream as planned, and starts one of another version before it.
   * @param softwareVersion Version of the replacement. */
  replaceOne(softwareVersion: string): void {
    const serving = this.getServing();
    if (serving.length === 0) return;
    const upstream = this.random.pick(serving);
    this.start(softwareVersion);
    upstream.published = { ...upstream.published, isLeaving: true };
    const { published } = upstream;
    this.publish(published.id, published);
    this.timeline.after(LEAVE_MS, () => this.end(upstream));
  }

  /** Crashes an upstream, and starts one of a version for it.
   * @param softwareVersion Version of the replacement. */
  crashOne(softwareVersion: string): void {
    const serving = this.getServing();
    if (serving.length === 0) return;
    this.end(this.random.pick(serving));
    this.start(softwareVersion);
  }

  /** Makes the platform forget all changes so far. */
  forgetHistory(): void {
    this.history = [];
  }

  /** Returns what the platform retains. */
  readHistory(): PublicationHistory {
    const minAt = this.timeline.read() - HISTORY_MS;
    this.history = this.history.filter(({ at }) => at >= minAt);
    const present = [...this.lastChanges.values()].filter(({ upstream }) =>
      upstream !== undefined
    );
    const known = new Set(
      present.flatMap(({ revision, upstream }) => [
        revision,
        upstream!.arrival,
      ]),
    );
    let completeAfter = this.revision - this.history.length;
    while (completeAfter > 0 && known.has(completeAfter)) completeAfter -= 1;
    const changes = this.history.map(({ change }) => change);
    return { present, changes, completeAfter, calls: 1 };
  }

  /** Resets the connections to an upstream. */
  resetOne(): void {
    const serving = this.getServing();
    if (serving.length === 0) return;
    this.onInterruption(this.random.pick(serving).published.id);
  }

  private end(upstream: VirtualUpstream): void {
    if (!upstream.isRunning) return;
    upstream.isRunning = false;
    const { id } = upstream.published;
    this.onInterruption(id);
    this.publish(id, undefined);
  }

  private publish(id: string, published: PublishedUpstream | undefined): void {
    this.revision += 1;
    const { revision } = this;
    const change = { id, revision, upstream: published } as UpstreamChange;
    this.history.push({ change, at: this.timeline.read() });
    this.lastChanges.set(id, change);
    this.onChange({ id, published });
  }
}
