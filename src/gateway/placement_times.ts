import type { RoutedCall } from "../forward/routed_call.ts";
import { ExpectedTimes } from "../scheduling/expected_time.ts";
import type { StreamRemainder } from "../scheduling/route_times.ts";
import type {
  ChoiceTiming,
  UpstreamChoice,
} from "../upstreams/choose_upstream.ts";
import type { PrefixIndex } from "../upstreams/prefix_index.ts";

/** Dependencies and callbacks of {@link PlacementTimes}. */
export interface PlacementTimesOptions {
  /** Receives the learned prefill time of a token. */
  prefixes: PrefixIndex;
  /** Whether the engines of a service can fetch cached prompt parts from each other. */
  canFetch: (service: string) => boolean;
  /** Called with the error of each estimate of the time to a first event, in milliseconds. */
  onEstimateError: ((errorMs: number) => void) | undefined;
}

/** The expected times that requests are placed by, learned from the responses to requests that were placed by time. */
export class PlacementTimes {
  private readonly times = ExpectedTimes.create();

  private constructor(private readonly options: PlacementTimesOptions) {}

  /** Creates times without responses.
   * @param options Its dependencies and callbacks. */
  static create(options: PlacementTimesOptions): PlacementTimes {
    return new PlacementTimes(options);
  }

  /** Returns what the placement of a call by time depends on.
   * @param call The call.
   * @param now Monotonic milliseconds. */
  createTiming(call: RoutedCall, now: number): ChoiceTiming {
    const { route, service, receivedAt } = call;
    const { objectiveMs, gapObjectiveMs } = route;
    return {
      times: this.times,
      terms: { objectiveMs, gapObjectiveMs, elapsedMs: now - receivedAt },
      isStream: route.kind === "stream",
      canFetch: this.options.canFetch(service),
    };
  }

  /** Learns from the time to the first event of a response, or to a response that is no stream.
   * @param choice Choice of the attempt.
   * @param durationMs The time, in milliseconds. */
  recordFirstEvent(choice: UpstreamChoice, durationMs: number): void {
    const { upstream, estimate, estimateBasis } = choice;
    if (!estimate || !estimateBasis) return;
    const slowdown = upstream.reported?.slowdown;
    this.times.recordFirstEvent(estimateBasis, estimate, durationMs, slowdown);
    const { prefixes, onEstimateError } = this.options;
    onEstimateError?.(Math.abs(durationMs - estimate.firstEventMs));
    const { service } = estimateBasis.work;
    const msPerToken = this.times.getPrefillMsPerToken(service);
    if (msPerToken) prefixes.setPrefillMsPerToken(msPerToken);
  }

  /** Learns from the time to the end of a response.
   * @param choice Choice of the attempt.
   * @param durationMs The time, in milliseconds.
   * @param remainder What followed the first event of a stream; undefined if the response is no stream. */
  recordEnd(
    { estimateBasis }: UpstreamChoice,
    durationMs: number,
    remainder: StreamRemainder | undefined,
  ): void {
    if (estimateBasis) {
      this.times.recordEnd(estimateBasis, durationMs, remainder);
    }
  }
}
