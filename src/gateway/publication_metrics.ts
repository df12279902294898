import { Counter, Histogram, type Registry } from "prom-client";
import type { PublicationFetchResult } from "./publication_exchange.ts";

/** Buckets of the publication age histogram: from a change that was just received up to the age at which keys are no
 * longer accepted. */
const AGE_BUCKETS_S = [0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4];

/** Counters and histograms of how recent the publication is, and of how it is learned from other hosts. */
export class PublicationMetrics {
  private readonly sendAges: Histogram;
  private readonly fetches: Counter;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.sendAges = new Histogram({
      name: "beechkeel_send_publication_age_seconds",
      help: "Age of the publication by which requests were sent.",
      buckets: AGE_BUCKETS_S,
      registers,
    });
    this.fetches = new Counter({
      name: "beechkeel_publication_fetches_total",
      help:
        "Publications asked for at other hosts, by the result: learned, failed.",
      labelNames: ["result"],
      registers,
    });
  }

  /** Creates metrics that start at zero.
   * @param registry Serves them. */
  static create(registry: Registry): PublicationMetrics {
    return new PublicationMetrics(registry);
  }

  /** Records that a request was sent.
   * @param ageMs Age of the publication, in milliseconds. */
  recordSend(ageMs: number): void {
    this.sendAges.observe(ageMs / 1_000);
  }

  /** Records that the publication of another host was asked for.
   * @param result The result. */
  recordFetch(result: PublicationFetchResult): void {
    this.fetches.inc({ result });
  }
}
