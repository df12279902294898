import { readClock } from "../clock/clock.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";

/** Delay between the first notice of a newer list and the pull from a peer; the platform usually delivers it sooner. */
const PULL_DELAY_MS = 1_000;
const PULL_TIMEOUT_MS = 1_000;

/** Pulls the host list from a peer if the platform does not deliver it to this router. */
export class HostListPuller {
  private newerSince: number | undefined;
  private isPulling = false;

  private constructor(
    private readonly connectionPool: PeerConnectionPool,
    private readonly getVersion: () => number,
    private readonly onList: (list: HostList) => void,
  ) {}

  /** Creates a puller.
   * @param connectionPool Connections to peers.
   * @param getVersion Returns the version of this router's host list.
   * @param onList Called with each newer list that was pulled. */
  static create(
    connectionPool: PeerConnectionPool,
    getVersion: () => number,
    onList: (list: HostList) => void,
  ): HostListPuller {
    return new HostListPuller(connectionPool, getVersion, onList);
  }

  /** Handles the notice that a peer has a newer host list than this router.
   * @param peerId Id of the peer.
   * @param version Version of the peer's list. */
  handleNewerVersion(peerId: string, version: number): void {
    const now = readClock();
    this.newerSince ??= now;
    if (this.isPulling || now - this.newerSince < PULL_DELAY_MS) return;
    this.newerSince = undefined;
    if (version > this.getVersion()) void this.pull(peerId);
  }

  private async pull(peerId: string): Promise<void> {
    this.isPulling = true;
    const buildFrame = (exchange: number) =>
      ({ type: "pull_hosts", exchange }) as const;
    const response = await this.connectionPool.request(
      peerId,
      buildFrame,
      "hosts",
      PULL_TIMEOUT_MS,
    );
    this.isPulling = false;
    if (response && response.list.version > this.getVersion()) {
      this.onList(response.list);
    }
  }
}
