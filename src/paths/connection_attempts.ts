import type { PathConnection } from "./path_connection.ts";
import type { PathTarget } from "./path_target.ts";
import type { RelayHost } from "./relay_host.ts";

/** Dependencies of {@link ConnectionAttempts}. */
export interface ConnectionAttemptsOptions {
  target: PathTarget;
  /** Maximum number of hosts that are asked to relay the connection. */
  maxRelays: number;
  /** Connects over this host's own path. */
  connectDirectly: () => Promise<PathConnection>;
  /** Connects through another host. */
  connectThrough: (relay: RelayHost) => Promise<PathConnection>;
  /** Chooses the host to ask next, other than those with the ids; undefined if none is left. */
  chooseRelay: (asked: ReadonlySet<string>) => RelayHost | undefined;
  /** Called when neither this host nor the first other one could connect at once. */
  onDoubt: () => void;
}

/** The ways in which one connection to an upstream is attempted, in their order: the direct one first or, if its path is
 * lost, last; the others through one host each. */
export class ConnectionAttempts {
  private readonly asked = new Set<string>();
  private isDirectStarted = false;
  private directFailure: unknown;

  private constructor(private readonly options: ConnectionAttemptsOptions) {}

  /** Creates the attempts at one connection.
   * @param options Dependencies. */
  static create(options: ConnectionAttemptsOptions): ConnectionAttempts {
    return new ConnectionAttempts(options);
  }

  /** Why this host could not connect; undefined if that is not known. */
  get directError(): unknown {
    return this.directFailure;
  }

  /** Returns the next attempt; undefined if there is none. Each host is chosen as late as possible, since those that hear
   * from the upstream respond to the report that it is in doubt. */
  getNext(): (() => Promise<PathConnection>) | undefined {
    if (this.options.target.path.isDirect && !this.isDirectStarted) {
      return this.getDirect();
    }
    return this.getRelayed() ?? this.getDirect();
  }

  private getDirect(): (() => Promise<PathConnection>) | undefined {
    if (this.isDirectStarted) return undefined;
    this.isDirectStarted = true;
    return async () => {
      try {
        return await this.options.connectDirectly();
      } catch (thrown) {
        this.directFailure = thrown;
        throw thrown;
      }
    };
  }

  private getRelayed(): (() => Promise<PathConnection>) | undefined {
    const { maxRelays, chooseRelay, connectThrough, onDoubt } = this.options;
    if (this.asked.size >= maxRelays) return undefined;
    const relay = chooseRelay(this.asked);
    if (!relay) return undefined;
    if (this.asked.size > 0) onDoubt();
    this.asked.add(relay.id);
    return () => connectThrough(relay);
  }
}
