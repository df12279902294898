import type { Upstream } from "./upstream.ts";

/** Time for which departed upstreams are remembered, in milliseconds; longer than streams last. */
const RETENTION_MS = 120_000;

/** Which software versions of a service may have served within a time. */
export interface ObservedVersions {
  /** The known versions. */
  versions: readonly string[];
  /** Time up to which the versions are complete, in milliseconds before now. */
  observedMs: number;
}

interface Departure {
  service: string;
  softwareVersion: string | undefined;
  /** Monotonic milliseconds. */
  at: number;
}

/** Dependencies of a {@link VersionHistory}. */
export interface VersionHistoryOptions {
  /** Returns the upstreams of a service that are present. */
  getPresent: (service: string) => readonly Upstream[];
  readNow: () => number;
}

/** The software versions that have served each service lately, as far as this host has observed it. */
export class VersionHistory {
  /** By the hash of the instance, in the order of their times. */
  private readonly departures = new Map<number, Departure>();
  /** Monotonic milliseconds since which no upstream can have come and gone unnoticed. */
  private observedSince = Infinity;

  private constructor(private readonly options: VersionHistoryOptions) {}

  /** Creates a history of a host that has observed nothing yet.
   * @param options Its dependencies. */
  static create(options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options);
  }

  /** Records that no upstream has served before this host started. */
  markComplete(): void {
    this.observedSince = -Infinity;
  }

  /** Records that upstreams may have come and gone unnoticed up to now. */
  recordGap(): void {
    this.observedSince = this.options.readNow();
  }

  /** Records that an upstream is no longer used.
   * @param upstream The upstream. */
  recordDeparture({ published, instanceHash }: Upstream): void {
    const { service, softwareVersion } = published;
    const at = this.options.readNow();
    this.departures.delete(instanceHash);
    this.departures.set(instanceHash, { service, softwareVersion, at });
    this.removeExpired(at);
  }

  /** Returns the versions of a service that may have served within a time.
   * @param service Name of the service.
   * @param withinMs The time, in milliseconds. */
  getVersions(service: string, withinMs: number): ObservedVersions {
    const now = this.options.readNow();
    const departed = [...this.departures.values()].filter((departure) =>
      departure.service === service && departure.at >= now - withinMs
    );
    const present = this.options.getPresent(service).map(({ published }) =>
      published
    );
    const versions = new Set(
      [...present, ...departed].map(({ softwareVersion }) => softwareVersion),
    );
    const isComplete = !versions.delete(undefined);
    return {
      versions: [...versions] as string[],
      observedMs: isComplete ? Math.max(0, now - this.observedSince) : 0,
    };
  }

  private removeExpired(now: number): void {
    for (const [instanceHash, { at }] of this.departures) {
      if (at > now - RETENTION_MS) return;
      this.departures.delete(instanceHash);
    }
  }
}
