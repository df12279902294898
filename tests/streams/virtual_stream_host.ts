import { pino } from "pino";
import { StreamTracker } from "../../src/forward/stream_tracker.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { StreamResumer } from "../../src/gateway/stream_resumer.ts";
import type { Timeline } from "../../src/clock/timeline.ts";
import { HostRing } from "../../src/peers/host_ring.ts";
import type { PublicationHistory } from "../../src/published/publication_feed.ts";
import type { Random } from "../../src/random/random.ts";
import { StreamDirectory } from "../../src/streams/stream_directory.ts";
import { deriveVersionHistory } from "../../src/upstreams/derive_version_history.ts";
import { isOfOrigin } from "../../src/upstreams/is_of_origin.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { VersionHistory } from "../../src/upstreams/version_history.ts";
import type { StartedHost } from "../peers/virtual_fleet.ts";
import { buildRoute } from "../published/build_published.ts";
import type { UpstreamListChange } from "./virtual_upstreams.ts";

/** Timeout of the route of all streams, in milliseconds. */
export const TIMEOUT_MS = 12_000;

/** Time after which a host that starts has read the history of the platform, in milliseconds. */
const HISTORY_DELAY_MS = 120;

const ROUTE = buildRoute({
  kind: "stream",
  isResumable: true,
  timeoutMs: TIMEOUT_MS,
});

/** A request as a caller of these tests sends it. */
export interface VirtualRequest {
  requestId: string;
  lastEventId: string | undefined;
  resumedRequestId: string | undefined;
}

/** The stream components of a host process in virtual time. */
export class VirtualStreamHost {
  /** Whether the process runs. */
  isRunning = true;
  private readonly upstreams = new Map<string, Upstream>();
  private readonly directory: StreamDirectory;
  private readonly versions: VersionHistory;
  private readonly resumer: StreamResumer;
  private pendingHistory: Promise<void> | undefined;

  constructor(
    { address, hall, gossip, socket, timeline }: StartedHost,
    private readonly random: Random,
    isFirstStart: boolean,
    readHistory: () => PublicationHistory,
  ) {
    this.versions = VersionHistory.create({
      getPresent: () => [...this.upstreams.values()],
      readNow: () => timeline.read(),
    });
    if (isFirstStart) this.versions.markComplete();
    else this.learnHistory(timeline, readHistory);
    this.directory = StreamDirectory.create({
      socket,
      ring: HostRing.create({
        own: { address, hall },
        getHosts: () =>
          gossip.hosts.getLive(timeline.read()).map(({ entry }) => ({
            address: entry.gossipAddress,
            hall: entry.hall,
          })),
        timeline,
      }),
      getVersions: (service, withinMs) =>
        this.versions.getVersions(service, withinMs),
      knowsFleet: () => gossip.knowsFleet,
      timeline,
    });
    this.resumer = StreamResumer.create({
      logger: pino({ level: "silent" }),
      lookUp: (question) => this.directory.lookUp(question),
      canContinue: (origin) =>
        this.getAccepting().some((upstream) => isOfOrigin(upstream, origin)),
      awaitPublication: () => Promise.resolve(true),
      isPlatformUnavailable: () => false,
      awaitHistory: () => this.pendingHistory,
      onDecision: () => undefined,
    });
  }

  /** Applies a change of the published list.
   * @param change The change. */
  applyChange({ id, published }: UpstreamListChange): void {
    const known = this.upstreams.get(id);
    if (published && known) known.published = published;
    else if (published) this.upstreams.set(id, Upstream.create(published));
    else if (known) {
      this.upstreams.delete(id);
      this.versions.recordDeparture(known);
    }
  }

  /** Admits a request; resolves with the tracker of its stream, or undefined if it is refused.
   * @param request The request. */
  async admit(request: VirtualRequest): Promise<StreamTracker | undefined> {
    const call = buildCall(request);
    const resumed = await this.resumer.find(call);
    if (resumed?.isErr()) return undefined;
    return StreamTracker.create(
      { ...call, resumed: resumed?.isOk() ? resumed.value : undefined },
      this.directory,
    );
  }

  /** Chooses an upstream for an attempt; undefined if none is left.
   * @param stream Tracker of the stream.
   * @param tried Ids of the upstreams that were tried before. */
  choose(
    { origin }: StreamTracker,
    tried: ReadonlySet<string>,
  ): Upstream | undefined {
    const candidates = this.getAccepting().filter((upstream) =>
      !tried.has(upstream.id) && isOfOrigin(upstream, origin)
    );
    return candidates.length > 0 ? this.random.pick(candidates) : undefined;
  }

  /** Ends the process. */
  close(): void {
    this.isRunning = false;
    this.directory.close();
  }

  /** Reads the history of the platform some time after the start. */
  private learnHistory(
    timeline: Timeline,
    readHistory: () => PublicationHistory,
  ): void {
    this.versions.recordGap();
    this.pendingHistory = new Promise((resolve) =>
      timeline.after(HISTORY_DELAY_MS, () => {
        this.versions.adopt(
          deriveVersionHistory(readHistory(), timeline.read()),
        );
        this.pendingHistory = undefined;
        resolve();
      })
    );
  }

  private getAccepting(): Upstream[] {
    return [...this.upstreams.values()].filter(({ isLeaving }) => !isLeaving);
  }
}

function buildCall(request: VirtualRequest): RoutedCall {
  return {
    requestId: request.requestId,
    route: ROUTE,
    service: "s",
    customer: "c",
    headers: request,
  } as unknown as RoutedCall;
}
