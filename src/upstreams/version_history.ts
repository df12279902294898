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

/** What a host has observed, as sent to other hosts. */
export interface ObservedHistory {
  /** Time for which all upstreams have been observed, in milliseconds. */
  observedMs: number;
  departures: readonly ObservedDeparture[];
}

/** A departed upstream, as sent to other hosts. */
export interface ObservedDeparture {
  service: string;
  softwareVersion: string | undefined;
  /** Milliseconds since the departure. */
  agoMs: number;
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
  private departures: Departure[] = [];
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
  recordDeparture({ published }: Upstream): void {
    const { service, softwareVersion } = published;
    this.addDeparture({ service, softwareVersion, at: this.options.readNow() });
  }

  /** Returns what this host has observed. */
  describe(): ObservedHistory {
    const now = this.options.readNow();
    return {
      observedMs: Math.max(0, now - this.observedSince),
      departures: this.departures.map(({ at, ...departure }) => ({
        ...departure,
        agoMs: now - at,
      })),
    };
  }

  /** Adopts what another host has observed up to now.
   * @param history What the other host has observed. */
  adopt({ observedMs, departures }: ObservedHistory): void {
    const now = this.options.readNow();
    for (const { agoMs, ...departure } of departures) {
      this.addDeparture({ ...departure, at: now - agoMs });
    }
    if (this.observedSince === Infinity) return;
    this.observedSince = Math.min(this.observedSince, now - observedMs);
  }

  /** Returns the versions of a service that may have served within a time.
   * @param service Name of the service.
   * @param withinMs The time, in milliseconds. */
  getVersions(service: string, withinMs: number): ObservedVersions {
    const now = this.options.readNow();
    const departed = this.departures.filter((departure) =>
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

  /** Adds a departure. Those of one version of a service count as one, at the time of the last. */
  private addDeparture(added: Departure): void {
    const now = this.options.readNow();
    const isSameVersion = (other: Departure) =>
      other.service === added.service &&
      other.softwareVersion === added.softwareVersion;
    const previous = this.departures.find(isSameVersion);
    const at = Math.max(added.at, previous?.at ?? -Infinity);
    const others = this.departures.filter((other) =>
      other !== previous && other.at > now - RETENTION_MS
    );
    this.departures = [...others, { ...added, at }];
  }
}
