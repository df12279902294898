/** How this host reaches an upstream: over connections of its own, through another host, or not at all. */
export type PathState = "direct" | "relayed" | "unreachable";

/** State of the path from this host to one upstream instance. */
export class UpstreamPath {
  private current: PathState = "direct";

  private constructor() {}

  /** Creates a path that is assumed to be direct. */
  static create(): UpstreamPath {
    return new UpstreamPath();
  }

  /** How this host reaches the upstream. */
  get state(): PathState {
    return this.current;
  }

  /** Whether connections of this host to the upstream are established. */
  get isDirect(): boolean {
    return this.current === "direct";
  }

  /** Whether neither this host nor another one that it asked can connect to the upstream. */
  get isUnreachable(): boolean {
    return this.current === "unreachable";
  }

  /** Changes the state; returns whether it is another one.
   * @param state The state. */
  change(state: PathState): boolean {
    const isChanged = state !== this.current;
    this.current = state;
    return isChanged;
  }
}
