import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { AvailabilityChange } from "../upstreams/availability.ts";
import type { PathState } from "../paths/upstream_path.ts";
import type { JudgedRepeat } from "../scheduling/judged_repeat.ts";
import { ROOM_STATES, type RoomState } from "../scheduling/room_state.ts";
import type { RetryDecision } from "../upstreams/retry_decision.ts";
import type { ServiceContact } from "../upstreams/service_contact.ts";
import type { ChoiceBasis } from "../upstreams/choose_upstream.ts";
import type { DatagramDirection } from "../peers/datagram_socket.ts";
import type { RefusalReason } from "../scheduling/decide_admission.ts";
import type { WaitEnd } from "./admission_log.ts";
import type { ResumeDecision } from "../streams/decide_resume.ts";
import { PublicationMetrics } from "./publication_metrics.ts";
import { StopMetrics } from "./stop_metrics.ts";

/** Buckets of the request duration histogram. */
const DURATION_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
];

/** Buckets of the request count age histogram: from below a gossip round up to the maximum age at which a count is
 * used. */
const COUNT_AGE_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.5];

/** Buckets of the estimate error histogram: from the noise of a fast upstream up to a latency objective. */
const ESTIMATE_ERROR_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5];

/** Counters, gauges and histograms of one gateway, served as text. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: "beechkeel_requests_total",
    help: "Requests by route kind and by how they ended.",
    labelNames: ["kind", "result"],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: "beechkeel_attempts_total",
    help: "Attempts at upstreams by what they said of its health.",
    labelNames: ["sign"],
    registers: [this.registry],
  });
  private readonly refusals = new Counter({
    name: "beechkeel_refusals_total",
    help: "Requests refused before any attempt, by kind of error.",
    labelNames: ["kind"],
    registers: [this.registry],
  });
  private readonly openResponses = new Counter({
    name: "beechkeel_open_responses_total",
    help: "Responses that were still open when their request had ended.",
    registers: [this.registry],
  });
  private readonly earlyRefusals = new Counter({
    name: "beechkeel_early_refusals_total",
    help:
      "Requests refused before they were sent because room is short: time_limit, queue, waiting_room.",
    labelNames: ["reason"],
    registers: [this.registry],
  });
  private readonly waits = new Counter({
    name: "beechkeel_waited_requests_total",
    help: "Requests that waited at this host, by how that ended.",
    labelNames: ["end"],
    registers: [this.registry],
  });
  private readonly waiting = new Gauge({
    name: "beechkeel_waiting_requests",
    help: "Requests that wait at this host for room at a service.",
    labelNames: ["service"],
    registers: [this.registry],
  });
  private readonly crashes = new Counter({
    name: "beechkeel_upstream_crashes_total",
    help: "Upstreams that crashed while requests of this host were on them.",
    registers: [this.registry],
  });
  private readonly availability = new Counter({
    name: "beechkeel_upstream_availability_total",
    help:
      "Changes of what upstreams said of whether they take requests: backs_off, reopened, leaves.",
    labelNames: ["change"],
    registers: [this.registry],
  });
  private readonly pathChanges = new Counter({
    name: "beechkeel_upstream_path_changes_total",
    help:
      "Changes of how this host reaches an upstream: direct, relayed, unreachable.",
    labelNames: ["state"],
    registers: [this.registry],
  });
  private readonly sends = new Counter({
    name: "beechkeel_sends_total",
    help:
      "Sends to upstreams by what the choice rested on: kept_prompt, prompt_order, least_cost, least_time.",
    labelNames: ["basis"],
    registers: [this.registry],
  });
  private readonly countAges = new Histogram({
    name: "beechkeel_load_count_age_seconds",
    help: "Mean age of other hosts' counts of requests at a send.",
    buckets: COUNT_AGE_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly estimateErrors = new Histogram({
    name: "beechkeel_estimate_error_seconds",
    help:
      "Absolute difference between the expected and the actual time to the first event.",
    buckets: ESTIMATE_ERROR_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly retries = new Counter({
    name: "beechkeel_retries_total",
    help: "Retries of a service by whether its retry budget allowed them.",
    labelNames: ["service", "allowed"],
    registers: [this.registry],
  });
  private readonly retriesSpent = new Gauge({
    name: "beechkeel_retry_budget_spent",
    help: "Retries of a service that this host had sent within the window.",
    labelNames: ["service"],
    registers: [this.registry],
  });
  private readonly retriesAllowed = new Gauge({
    name: "beechkeel_retry_budget_allowed",
    help: "Retries of a service that this host may send within a window.",
    labelNames: ["service"],
    registers: [this.registry],
  });
  private readonly repeats = new Counter({
    name: "beechkeel_repeats_total",
    help:
      "Decisions whether a repeat of a request is sent or gives way for lack of room, by cause.",
    labelNames: ["service", "cause", "decision"],
    registers: [this.registry],
  });
  private readonly rooms = new Gauge({
    name: "beechkeel_service_room",
    help:
      "Room of a service as this host sees it: 0 free, 1 tight, 2 exhausted.",
    labelNames: ["service"],
    registers: [this.registry],
  });
  private readonly resumes = new Counter({
    name: "beechkeel_stream_resumes_total",
    help:
      "Streams that callers resume, by why they continue or not: recorded, single_version, uncertain_version, unknown, service_changed, version_gone.",
    labelNames: ["decision"],
    registers: [this.registry],
  });
  private readonly durations = new Histogram({
    name: "beechkeel_request_seconds",
    help: "Time from a request's arrival to the end of its answer.",
    labelNames: ["kind"],
    buckets: DURATION_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly datagramBytes = new Counter({
    name: "beechkeel_datagram_bytes_total",
    help: "Bytes of datagrams that hosts sent each other, without headers.",
    labelNames: ["direction"],
    registers: [this.registry],
  });
  private readonly age = new Gauge({
    name: "beechkeel_publication_age_seconds",
    help: "Age of what this host knows of the configuration and upstreams.",
    registers: [this.registry],
  });

  private readonly version = new Gauge({
    name: "beechkeel_configuration_version",
    help: "Version of the configuration in force; 0 before the first.",
    registers: [this.registry],
  });
  private readonly evacuatedHalls = new Gauge({
    name: "beechkeel_evacuated_halls",
    help: "Halls whose upstreams get no new requests, as the operator asked.",
    registers: [this.registry],
  });
  private readonly era = new Gauge({
    name: "beechkeel_publication_era",
    help: "Number of restores of the platform from an older copy.",
    registers: [this.registry],
  });
  private readonly heardUpstreams = new Gauge({
    name: "beechkeel_upstreams_heard",
    help: "Upstreams of a service that this host heard from within a second.",
    labelNames: ["service"],
    registers: [this.registry],
  });
  private readonly listedUpstreams = new Gauge({
    name: "beechkeel_upstreams_listed",
    help: "Upstreams of a service that are listed and not leaving.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  private readonly pacedUpstreams = new Gauge({
    name: "beechkeel_upstreams_paced",
    help:
      "Upstreams of a service to which this host limits requests because they have started or recovered.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  /** How recent the publication is. */
  readonly publication = PublicationMetrics.create(this.registry);
  /** Counters of graceful stops. */
  readonly stops = StopMetrics.create(this.registry);

  private constructor() {}

  /** Creates metrics that start at zero. */
  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }

  /** Records a finished request.
   * @param kind Kind of its route.
   * @param result How it ended.
   * @param durationMs Its duration in milliseconds. */
  recordRequest(kind: string, result: string, durationMs: number): void {
    this.requests.inc({ kind, result });
    this.durations.observe({ kind }, durationMs / 1_000);
  }

  /** Records a response that was still open when its request had ended. */
  recordOpenResponse(): void {
    this.openResponses.inc();
  }

  /** Records an attempt.
   * @param sign The health signal of the upstream. */
  recordAttempt(sign: string): void {
    this.attempts.inc({ sign });
  }

  /** Records a request that was refused before any attempt.
   * @param kind Kind of error. */
  recordRefusal(kind: string): void {
    this.refusals.inc({ kind });
  }

  /** Records a request that was refused before it was sent because room is short.
   * @param reason The reason. */
  recordEarlyRefusal(reason: RefusalReason): void {
    this.earlyRefusals.inc({ reason });
  }

  /** Records how the wait of a request ended.
   * @param end How it ended. */
  recordWaited(end: WaitEnd): void {
    this.waits.inc({ end });
  }

  /** Records how many requests wait for a service.
   * @param service Name of the service.
   * @param count Their number. */
  recordWaiting(service: string, count: number): void {
    this.waiting.set({ service }, count);
  }

  /** Records a crash of an upstream. */
  recordCrash(): void {
    this.crashes.inc();
  }

  /** Records that this host reaches an upstream in another way.
   * @param state The way. */
  recordPathChange(state: PathState): void {
    this.pathChanges.inc({ state });
  }

  /** Records that an upstream reported a change of whether it accepts requests.
   * @param change The change. */
  recordAvailability(change: AvailabilityChange): void {
    this.availability.inc({ change });
  }

  /** Records that a request was sent to an upstream.
   * @param basis The basis on which the upstream was chosen.
   * @param countAgeMs Mean age of other hosts' request counts, in milliseconds. */
  recordSend(basis: ChoiceBasis, countAgeMs: number): void {
    this.sends.inc({ basis });
    this.countAges.observe(countAgeMs / 1_000);
  }

  /** Records by how much an expected time was wrong.
   * @param errorMs Absolute difference in milliseconds. */
  recordEstimateError(errorMs: number): void {
    this.estimateErrors.observe(errorMs / 1_000);
  }

  /** Records a decision on a retry. The gauges keep the figures of the last one.
   * @param service Name of the service.
   * @param decision The decision. */
  recordRetryDecision(service: string, decision: RetryDecision): void {
    const { isAllowed, spent, allowed } = decision;
    this.retries.inc({ service, allowed: String(isAllowed) });
    this.retriesSpent.set({ service }, spent + Number(isAllowed));
    this.retriesAllowed.set({ service }, allowed);
  }

  /** Records a decision whether a repeat of a request gives way.
   * @param service Name of the service.
   * @param repeat The decision and what it was based on. */
  recordRepeatDecision(
    service: string,
    { cause, decision }: JudgedRepeat,
  ): void {
    this.repeats.inc({ service, cause, decision });
  }

  /** Records how much room a service has.
   * @param service Name of the service.
   * @param room The room. */
  recordRoom(service: string, room: RoomState): void {
    this.rooms.set({ service }, ROOM_STATES.indexOf(room));
  }

  /** Records a decision on a stream that a caller resumes.
   * @param decision The decision. */
  recordResume(decision: ResumeDecision): void {
    this.resumes.inc({ decision });
  }

  /** Records a datagram.
   * @param direction Whether this host sent or received it.
   * @param bytes Its length in bytes. */
  recordDatagram(direction: DatagramDirection, bytes: number): void {
    this.datagramBytes.inc({ direction }, bytes);
  }

  /** Records that a configuration became current.
   * @param version Its version. */
  recordConfiguration(version: number): void {
    this.version.set(version);
  }

  /** Records how many halls are to be evacuated.
   * @param count Number of halls. */
  recordEvacuatedHalls(count: number): void {
    this.evacuatedHalls.set(count);
  }

  /** Records how often the platform was restored from an older copy.
   * @param era The number of restores. */
  recordEra(era: number): void {
    this.era.set(era);
  }

  /** Records how many upstreams are paced.
   * @param counts Numbers by service. */
  recordPaced(counts: Iterable<[service: string, count: number]>): void {
    for (const [service, count] of counts) {
      this.pacedUpstreams.set({ service }, count);
    }
  }

  /** Returns all metrics as text.
   * @param ageMs Age of the known publication in milliseconds.
   * @param services Contact with the upstreams of each service. */
  async getText(
    ageMs: number,
    services: Iterable<ServiceContact>,
  ): Promise<string> {
    this.age.set(ageMs / 1_000);
    this.heardUpstreams.reset();
    this.listedUpstreams.reset();
    for (const { service, heard, listed } of services) {
      this.heardUpstreams.set({ service }, heard);
      this.listedUpstreams.set({ service }, listed);
    }
    return await this.registry.metrics();
  }
}
