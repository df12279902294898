import { StatsD } from "hot-shots";
import type { Settings } from "../settings/settings_schema.ts";

/** Sends counters, gauges and timings to StatsD; sends nothing if metrics are disabled. */
export class Metrics {
  private constructor(private readonly client: StatsD) {}

  /** Creates the metrics client.
   * @param settings The `metrics` section of the settings.
   * @param routerId Value of the `router` tag of every metric. */
  static create(settings: Settings["metrics"], routerId: string): Metrics {
    return new Metrics(
      new StatsD({
        host: settings.host,
        port: settings.port,
        prefix: settings.prefix,
        globalTags: { router: routerId },
        mock: !settings.enabled,
        errorHandler: () => undefined,
      }),
    );
  }

  /** Increments a counter.
   * @param name Metric name.
   * @param tags Tags of the event. */
  count(name: string, tags: Record<string, string> = {}): void {
    this.client.increment(name, 1, tags);
  }

  /** Records a duration.
   * @param name Metric name.
   * @param milliseconds The duration. */
  time(name: string, milliseconds: number): void {
    this.client.timing(name, milliseconds);
  }

  /** Sets a gauge.
   * @param name Metric name.
   * @param value The value. */
  gauge(name: string, value: number): void {
    this.client.gauge(name, value);
  }

  /** Closes the socket. */
  close(): void {
    this.client.close();
  }
}
