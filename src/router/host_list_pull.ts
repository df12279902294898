import { readClock } from "../clock/clock.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";

/** Time for which a peer's list must be newer before it is taken; the platform usually brings it sooner. */
const PATIENCE_MS = 1_000;
const PULL_TIMEOUT_MS = 1_000;

/** Takes the list of hosts from peers when the platform does not bring it here. */
export class HostListPull {
  private newerSince: number | undefined;
  private isPulling = false;

  private constructor(
    private readonly directory: PeerDirectory,
    private readonly getVersion: () => number,
    private readonly onList: (list: HostList) => void,
  ) {}

  /** Creates one.
   * @param directory Connections to peers.
   * @param getVersion Version of the own list.
   * @param onList Takes a newer list. */
  static create(
    directory: PeerDirectory,
    getVersion: () => number,
    onList: (list: HostList) => void,
  ): HostListPull {
    return new HostListPull(directory, getVersion, onList);
  }

  /** Notices a peer whose list is newer than the own one.
   * @param peerId The peer.
   * @param version Version of its list. */
  notice(peerId: string, version: number): void {
    const now = readClock();
    this.newerSince ??= now;
    if (this.isPulling || now - this.newerSince < PATIENCE_MS) return;
    this.newerSince = undefined;
    if (version > this.getVersion()) void this.pull(peerId);
  }

  private async pull(peerId: string): Promise<void> {
    this.isPulling = true;
    const build = (exchange: number) =>
      ({ type: "pull_hosts", exchange }) as const;
    const answer = await this.directory.ask(
      peerId,
      build,
      "hosts",
      PULL_TIMEOUT_MS,
    );
    this.isPulling = false;
    if (answer && answer.list.version > this.getVersion()) {
      this.onList(answer.list);
    }
  }
}
