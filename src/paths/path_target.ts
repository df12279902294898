import type { UpstreamPath } from "./upstream_path.ts";

/** An upstream instance, as far as the paths to it are concerned. */
export interface PathTarget {
  /** Id of the upstream, for the log. */
  readonly id: string;
  /** Hash that identifies the instance in messages between hosts. */
  readonly instanceHash: number;
  /** Address, as ip:port. */
  readonly address: string;
  /** Monotonic milliseconds at which bytes of any of its responses were last received. */
  readonly lastReceivedAt: number;
  /** Whether it is no longer listed. */
  readonly isRemoved: boolean;
  readonly path: UpstreamPath;
}
